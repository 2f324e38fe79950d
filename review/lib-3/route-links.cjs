/**
 * Loaded into the processes of a deployment with proxied links: connects to the proxy of a link in place of the machine at its other end. The variable
 * `REVIEW_LINKS` maps the addresses of the other machines to the ports of the proxies.
 */
'use strict';

const net = require('node:net');
const process = require('node:process');

const ports = JSON.parse(process.env.REVIEW_LINKS);
const {connect} = net.Socket.prototype;
net.Socket.prototype.connect = function (...args) {
	const normalized = Array.isArray(args[0]) ? args[0] : args;
	const [options] = normalized;
	const port = ports[`${options?.host}:${options?.port}`];
	if (port !== undefined) {
		normalized[0] = {...options, host: '127.0.0.1', port};
	}

	return connect.apply(this, args);
};
