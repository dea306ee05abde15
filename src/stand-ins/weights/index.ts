export { createWeightStore, type WeightStore } from './weight-store.js';
