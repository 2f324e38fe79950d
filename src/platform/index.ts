export * from './vm-list.js';
export type * from './platform.js';
export {createEtcdPlatform, type EtcdPlatformOptions} from './etcd-platform.js';
