/**
 * Stands for optional modules of bunyan that the daemon does not use: `mv`, which only rotates log files, takes an eighth of the processor time of a
 * start, and the lookups of the others search the folders in vain.
 */
'use strict';

module.exports = null;
