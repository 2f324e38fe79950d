/**
 * Schedulers of the configured services on one entry VM.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type Configuration, type Profile} from '../../version/index.js';
import {type MemberView} from './member-view.js';
import {ServiceScheduler} from './service-scheduler.js';
import {type ServiceSchedulerOptions} from './service-scheduler-options.js';

/** Options of a {@link ServiceTable}. */
export type ServiceTableOptions = Omit<ServiceSchedulerOptions, 'service' | 'profile'>;

/**
 * Holds one scheduler for each configured service and updates its profile and upstreams.
 * @internal
 */
export class ServiceTable {
	readonly #options: ServiceTableOptions;
	readonly #services = new Map<string, ServiceScheduler>();
	#upstreams: readonly ListedUpstream[] = [];
	#view: MemberView;
	#isPaused = false;

	constructor(options: ServiceTableOptions, view: MemberView) {
		this.#options = options;
		this.#view = view;
	}

	/**
	 * Gets the scheduler of a service; `undefined` when the service is not configured.
	 * @param name - Name of the service.
	 */
	getService(name: string): ServiceScheduler | undefined {
		return this.#services.get(name);
	}

	/** Gets the schedulers of all services. */
	getServices(): Iterable<ServiceScheduler> {
		return this.#services.values();
	}

	/**
	 * Replaces the view of the membership.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
		for (const service of this.#services.values()) {
			service.setMembers(view);
		}
	}

	/**
	 * Replaces the list of upstreams.
	 * @param upstreams - Upstreams of all services.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#upstreams = upstreams;
		for (const [name, service] of this.#services) {
			service.setUpstreams(this.#getUpstreams(name, service.getProfile()));
		}
	}

	/**
	 * Adds, updates and removes schedulers to match the declared services and profiles.
	 * @param declarations - Declarations of the current configuration.
	 */
	setDeclarations({services, profiles}: Configuration['declarations']): void {
		for (const [name, service] of this.#services) {
			if (!services[name]) {
				service.close();
				this.#services.delete(name);
			}
		}

		for (const [name, service] of Object.entries(services)) {
			this.#setProfile(name, profiles[service.profile]);
		}
	}

	/** Stops starting tasks and voids the leases held by this entry VM. */
	handlePause(): void {
		this.#isPaused = true;
		for (const service of this.#services.values()) {
			service.handlePause();
		}
	}

	/** Resumes starting tasks. */
	confirmView(): void {
		this.#isPaused = false;
		for (const service of this.#services.values()) {
			service.confirmView();
		}
	}

	/** Drops all queued tasks and returns all leases. */
	close(): void {
		for (const service of this.#services.values()) {
			service.close();
		}
	}

	#setProfile(name: string, profile: Profile | undefined): void {
		if (!profile) {
			return;
		}

		const existing = this.#services.get(name);
		existing?.setProfile(profile);
		const service = existing ?? this.#addService(name, profile);
		service.setUpstreams(this.#getUpstreams(name, profile));
	}

	#addService(name: string, profile: Profile): ServiceScheduler {
		const created = new ServiceScheduler({...this.#options, service: name, profile}, this.#view);
		this.#services.set(name, created);
		if (this.#isPaused) {
			created.handlePause();
		}

		return created;
	}

	#getUpstreams(service: string, profile: Profile): readonly ListedUpstream[] {
		const {dataCenter} = this.#options.context.self;
		return this.#upstreams.filter(upstream => upstream.service === service
			&& (profile.spillToOtherDataCenters || upstream.dataCenter === dataCenter));
	}
}
