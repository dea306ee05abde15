// The part of undici that the gateway uses. Its own entry point loads fetch, mocks and caches too.
const buildConnector = require('undici/lib/core/connect');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Pool = require('undici/lib/dispatcher/pool');
const request = require('undici/lib/api/api-request');

// undici's own entry point adds these methods to its dispatchers.
Object.assign(Dispatcher.prototype, { request });

module.exports = { Agent, Client, Dispatcher, Pool, buildConnector };
