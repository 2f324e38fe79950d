/**
 * The parts of undici that the bundled daemon uses. The full library also loads fetch, WebSocket and cookies, which take a third of
 * the processor time of a start; callers wait for the start after a loss of all VMs.
 */
'use strict';

// Imported by path, since the bundler resolves the library's name to this file.
exports.Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
exports.buildConnector = require('../node_modules/undici/lib/core/connect.js');
