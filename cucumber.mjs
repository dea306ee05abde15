// AREA=name runs the features of one folder alone: AREA=routing npm run cucumber
const area = process.env.AREA ?? '*';

export default {
  paths: [`features/${area}/*.feature`],
  import: ['features/support/*.ts', `features/${area}/*.ts`],
  format: ['./features/support/closing-line.ts'],
};
