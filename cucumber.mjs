// AREA=name runs the features of one folder alone: AREA=routing npm run cucumber
// KNOWN_RED=only runs just the scenarios that KNOWN-RED.txt lists.
const area = process.env.AREA ?? '*';
const knownRed = process.env.KNOWN_RED === 'only' ? '@known-red' : 'not @known-red';

export default {
  paths: [`features/${area}/*.feature`],
  import: ['features/support/*.ts', `features/${area}/*.ts`],
  format: ['./features/support/closing-line.ts'],
  tags: knownRed,
  // Scenarios share nothing; each deployment is a dozen processes at most.
  parallel: 4,
};
