/**
 * Loaded into each VM process of a soak with disturbed links: connects to the proxy of a link in place of the VM at its other end. The variable
 * `SOAK_LINKS` maps the addresses of the other VMs to the ports of the proxies.
 */
'use strict';

const net = require('node:net');
const process = require('node:process');

const ports = JSON.parse(process.env.SOAK_LINKS);
const {connect} = net.Socket.prototype;
net.Socket.prototype.connect = function (...args) {
	const normalized = Array.isArray(args[0]) ? args[0] : args;
	const [options] = normalized;
	const port = typeof options === 'object' && options !== null ? ports[`${options.host}:${options.port}`] : undefined;
	if (port !== undefined) {
		normalized[0] = {...options, host: '127.0.0.1', port};
	}

	return connect.apply(this, args);
};
