export {type Surroundings} from './context.js';
export {DocumentError, type Problem} from './document.js';
export {runProgram} from './program.js';
export {loadTables, mergeFile, type TableFile} from './table.js';
export {fieldTables, refusalTable} from './page.js';
