export type * from './platform.js';
export {createEtcdPlatform, type EtcdPlatformOptions} from './etcd-platform.js';
export * from './vm-list.js';
