/**
 * Membership: failure detection, reports from other data centres, and the addresses to keep links to.
 */
import {type ListedEntryVm} from '../platform/index.js';
import {type CompleteReport} from './control-link.js';
import {type DataCenterView, type KnownAddress, type ReportedMember} from './control-messages.js';
import {type ControlLinks} from './control-links.js';
import {DialerSet} from './dialer-set.js';
import {RemoteLinkPlanner} from './remote-link-planner.js';
import {type MemberRecord} from './member-record.js';
import {type MemberTable} from './member-table.js';
import {type PeerMeshSettings} from './peer-mesh-options.js';
import {type ReportTable} from './report-table.js';

/** Options of {@link Membership}. */
export type MembershipOptions = {
	readonly settings: PeerMeshSettings;
	/** Gets the address that this process advertises. */
	readonly getAddress: () => string;
	readonly table: MemberTable;
	readonly reports: ReportTable;
	readonly links: ControlLinks;
};

/**
 * Minimum time between two updates of the addresses to dial, in milliseconds per known member. When all processes start together, each
 * discovers the others one by one; replanning the links each time takes seconds of CPU time among 50 VMs, and closes most of them again.
 */
const minUpdateIntervalMsPerMember = 2;

/**
 * Decides the state of each member and manages the dialling tasks.
 * @internal
 */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #dialers: DialerSet;
	readonly #planner: RemoteLinkPlanner;
	/** Silence that is within the limit of every member, in milliseconds; up to it, the limit of a member need not be computed. */
	readonly #minSilenceMs: number;
	/** Members that views report as up, with the revision of the table after the view was last applied. */
	readonly #appliedViews = new WeakMap<DataCenterView, {readonly revision: number; readonly up: readonly MemberRecord[]}>();
	#listed: readonly ListedEntryVm[] | undefined;
	#listRevision = 0;
	/** Revisions of the inputs from which the addresses to dial were last computed. */
	#dialedKey = '';
	#dialedAt = -Infinity;
	#isClosed = false;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#planner = new RemoteLinkPlanner(options);
		const {settings, table} = options;
		const {missedHeartbeatsUntilSilent, missedHeartbeatsUntilDown, heartbeatIntervalMs, remoteHeartbeatIntervalMs, reportMaxAgeMs} = settings;
		this.#minSilenceMs = Math.min(missedHeartbeatsUntilSilent, missedHeartbeatsUntilDown) * Math.min(heartbeatIntervalMs, remoteHeartbeatIntervalMs, reportMaxAgeMs / missedHeartbeatsUntilSilent);
		this.#dialers = new DialerSet({settings, table, dial: async address => this.#dial(address)});
	}

	/**
	 * Sets the platform's list of entry VMs.
	 * @param listed - Entry VMs in the list.
	 */
	setListed(listed: readonly ListedEntryVm[]): void {
		this.#listed = listed;
		this.#listRevision++;
		this.updateDialers();
	}

	/**
	 * Adds the members at addresses received from a peer.
	 * @param addresses - Addresses at which entry VMs were seen.
	 */
	addAddresses(addresses: readonly KnownAddress[]): void {
		const {settings, table} = this.#options;
		table.batchChanges(() => {
			for (const {address, ...incarnation} of addresses) {
				if (incarnation.id !== settings.self.id) {
					table.getOrAddRecord(incarnation, address);
				}
			}
		});
		this.updateDialers();
	}

	/**
	 * Applies reports received over a link.
	 * @param reports - Reports of this data centre or of others.
	 */
	addReports(reports: readonly CompleteReport[]): void {
		this.#options.table.batchChanges(() => {
			for (const report of reports) {
				this.#addReport(report);
			}
		});
	}

	/**
	 * Updates the dialling tasks after a link to a member opened or closed.
	 * @param record - Member at the other end of the link.
	 */
	handleLinkChange(record: MemberRecord): void {
		if (!record.getOpenLink()) {
			this.#dialers.wake(record);
		}

		this.updateDialers();
	}

	/** Resets the silence timer of every member and the age of every report, after a pause of this process. */
	resetSilenceTimers(): void {
		const now = this.#options.settings.clock.getMonotonicTime();
		for (const record of this.#options.table.getRecords()) {
			record.lastReceived = now;
		}

		this.#options.reports.refresh();
	}

	/**
	 * Decides the state of each member by the time since something was last received from it.
	 * @param now - Monotonic time up to which silence is measured.
	 */
	evaluate(now: number): void {
		if (this.#isClosed) {
			return;
		}

		for (const record of this.#options.table.getRecords()) {
			this.#evaluateRecord(record, now);
			this.#closeSurplusLink(record, now);
		}

		this.#options.reports.removeStale();
		this.#options.table.removeDeparted(this.#options.settings.downRetentionMs, record => this.#isDeparted(record));
		this.updateDialers();
	}

	/** Starts and stops dialling tasks so that each wanted address has exactly one. */
	updateDialers(): void {
		const {settings, table} = this.#options;
		const now = settings.clock.getMonotonicTime();
		const memberCount = Math.max(table.getRecords().length, this.#listed?.length ?? 0);
		if (this.#isClosed || now - this.#dialedAt < memberCount * minUpdateIntervalMsPerMember) {
			// The next tick runs the update.
			return;
		}

		const key = `${this.#options.table.getRevision()} ${this.#planner.getRevision()} ${this.#dialers.getRevision()} ${this.#listRevision}`;
		if (key !== this.#dialedKey) {
			this.#dialedKey = key;
			this.#dialedAt = now;
			this.#dialers.update(this.#getWantedAddresses());
		}
	}

	/** Stops the dialling tasks. */
	close(): void {
		this.#isClosed = true;
		this.#dialers.close();
	}

	#addReport(report: CompleteReport): void {
		if (report.view.dataCenter === this.#options.settings.self.dataCenter) {
			this.#addLocalReport(report);
		} else if (this.#options.reports.addReport(report)) {
			this.#addRemoteReport(report);
		}
	}

	#addLocalReport({view}: CompleteReport): void {
		const up = view.members.filter(({id, state}) => state === 'up' && id !== this.#options.settings.self.id);
		this.addAddresses(up
			.filter(({id}) => !this.#options.table.getRecord(id))
			.map(({id, vm, address}) => ({
				dataCenter: view.dataCenter, vm, id, address,
			})));
	}

	#addRemoteReport({view}: CompleteReport): void {
		const {table, settings} = this.#options;
		const now = settings.clock.getMonotonicTime();
		const applied = this.#appliedViews.get(view);
		// A view changes nothing a second time unless something else has changed since. At rest tens of reporters repeat theirs twice a second.
		if (applied?.revision === table.getRevision()) {
			for (const record of applied.up) {
				record.lastReceived = now;
			}

			return;
		}

		const up = view.members.flatMap(member => this.#addReportedMember(view.dataCenter, member, now) ?? []);
		// Whether a member goes down that is reported down depends on the other reports too, which age without a change of the table.
		if (view.members.every(({id, state}) => state !== 'down' || (table.getRecord(id)?.state ?? 'down') === 'down')) {
			this.#appliedViews.set(view, {revision: table.getRevision(), up});
		}
	}

	/** Applies the report about a member; returns the member if it is reported up. */
	#addReportedMember(dataCenter: string, member: ReportedMember, now: number): MemberRecord | undefined {
		const {table, reports} = this.#options;
		const {id, vm, address, state} = member;
		if (state === 'up') {
			const record = table.getOrAddRecord({dataCenter, vm, id}, address);
			record.lastReceived = now;
			table.setAddress(record, address);
			table.setStatus(record, member);
			table.setState(record, 'up', 'reported up');
			return record;
		}

		const record = table.getRecord(id);
		if (record && state === 'down' && record.state !== 'down' && !record.getOpenLink() && reports.getReportedState(id) === 'down') {
			table.setState(record, 'down', 'reported down');
		}

		return undefined;
	}

	#evaluateRecord(record: MemberRecord, now: number): void {
		const {settings, table} = this.#options;
		if (record.state === 'down') {
			return;
		}

		const age = now - record.getLastReceived();
		if (age <= this.#minSilenceMs) {
			return;
		}

		const intervalMs = this.#getExpectedIntervalMs(record) * record.getTimeoutFactor(now, settings.newMemberMs);
		if (age > settings.missedHeartbeatsUntilDown * intervalMs) {
			table.setState(record, 'down', `not heard for ${Math.round(age)} ms`);
		} else if (age > settings.missedHeartbeatsUntilSilent * intervalMs) {
			table.setState(record, 'silent', `not heard for ${Math.round(age)} ms`);
			// A new connection may work although this one is silent.
			record.link?.close();
		}
	}

	/** Gets the expected interval between signs of life of a member, in milliseconds: its heartbeats, or the reports of others about it. */
	#getExpectedIntervalMs(record: MemberRecord): number {
		const {settings} = this.#options;
		const isLocal = this.#isLocal(record);
		if (!isLocal && !record.getOpenLink() && !this.#dialers.hasDialer(record)) {
			return settings.reportMaxAgeMs / settings.missedHeartbeatsUntilSilent;
		}

		return Math.max(isLocal ? settings.heartbeatIntervalMs : settings.remoteHeartbeatIntervalMs, record.announcedIntervalMs);
	}

	/** Closes a link to another data centre that this process dialled and that is no longer planned. */
	#closeSurplusLink(record: MemberRecord, now: number): void {
		const {self, missedHeartbeatsUntilDown, remoteHeartbeatIntervalMs} = this.#options.settings;
		const link = record.getOpenLink();
		if (!link || this.#isLocal(record) || link.dialerId !== self.id || this.#dialers.hasDialer(record)) {
			record.surplusSince = undefined;
			return;
		}

		record.surplusSince ??= now;
		if (now - record.surplusSince > missedHeartbeatsUntilDown * remoteHeartbeatIntervalMs) {
			link.close();
		}
	}

	#isLocal({incarnation}: MemberRecord): boolean {
		return incarnation.dataCenter === this.#options.settings.self.dataCenter;
	}

	#isDeparted(record: MemberRecord): boolean {
		const {vm, dataCenter} = record.incarnation;
		const isReplaced = this.#options.table.getRecords().some(({incarnation, address, state}) =>
			state === 'up' && (address === record.address || (incarnation.vm === vm && incarnation.dataCenter === dataCenter)));
		const isListed = this.#listed?.some(listed => listed.name === vm && listed.dataCenter === dataCenter) ?? true;
		return isReplaced || !isListed;
	}

	#getWantedAddresses(): ReadonlySet<string> {
		const {getAddress, table} = this.#options;
		const {dataCenter} = this.#options.settings.self;
		const local = table.getRecords().filter(record => this.#isLocal(record)).map(record => record.address);
		const listed = (this.#listed ?? []).filter(vm => vm.dataCenter === dataCenter).map(({peerAddress}) => peerAddress);
		const wanted = new Set([...local, ...listed, ...this.#getSeeds(), ...this.#planner.getAddresses(this.#listed ?? [])]);
		wanted.delete(getAddress());
		return wanted;
	}

	/** Gets the seeds at which no known member has answered, and all seeds while no member is up. */
	#getSeeds(): readonly string[] {
		const {settings, table} = this.#options;
		const hasNoPeerUp = table.getRecords().every(({state}) => state !== 'up');
		return settings.seeds.filter(seed => hasNoPeerUp || !this.#dialers.getAnswered(seed));
	}

	async #dial(address: string): Promise<string | undefined> {
		const result = await this.#options.links.dial(address);
		if (this.#isClosed) {
			return undefined;
		}

		if (result.ok) {
			this.#planner.removeFailure(address);
			this.#setDown(address, 'another incarnation answered', result.peer.incarnation.id);
		} else if (result.reason !== 'duplicate') {
			this.#planner.addFailure(address);
			if (result.reason === 'refused') {
				this.#setDown(address, 'connection refused');
			}
		}

		this.updateDialers();
		return result.ok ? result.peer.incarnation.id : result.incarnationId;
	}

	#setDown(address: string, detail: string, exceptId?: string): void {
		for (const record of this.#options.table.getRecords()) {
			if (record.address === address && record.incarnation.id !== exceptId && !record.getOpenLink()) {
				this.#options.table.setState(record, 'down', detail);
			}
		}
	}
}
