export {type ProcessContext} from './context.js';
export {DocumentError, type Problem} from './document.js';
export {runProgram} from './program.js';
export {loadTableFile, mergeTableFile, type TableFile} from './table.js';
export {formatFieldTables, formatRefusalTable} from './page.js';
