export * from './create-membership.js';
