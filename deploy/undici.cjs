/**
 * The parts of undici that the bundled daemon uses. The whole library also loads its fetch, web sockets and cookies, which are a third of
 * the processor time of a start; after a loss of all VMs callers wait for it.
 */
'use strict';

// By path, since the bundler sends imports of the library's name here.
exports.Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
exports.buildConnector = require('../node_modules/undici/lib/core/connect.js');
