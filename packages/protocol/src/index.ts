export * from './client.js';
export * from './failover.js';
export * from './message.js';
export {createServiceServer, SECRET_HEADER} from './router.js';
export * from './server.js';
export * from './service.js';
export * from './use.js';
