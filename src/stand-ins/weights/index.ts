export { createWeightStore, type WeightStore, type WeightStoreSettings } from './weight-store.js';
