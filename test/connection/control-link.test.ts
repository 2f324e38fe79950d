import test from 'ava';
import {ControlChannel} from '../../src/connection/control-channel.js';
import {type Heartbeat} from '../../src/connection/index.js';
import {
	type CompleteReport, ControlLink, encodeHeartbeatBody, type HeartbeatContent,
} from '../../src/connection/control-link.js';
import {decodeValue, frameHeaderBytes} from '../../src/connection/frame-codec.js';
import {type FrameConnection} from '../../src/connection/frame-connection.js';
import {HeartbeatFrames} from '../../src/connection/heartbeat-frames.js';

const body = encodeHeartbeatBody({configurationVersion: 1, isLeaving: false, load: {free: 1}});

function createFixture() {
	const frames: Uint8Array[] = [];
	const connection: Pick<FrameConnection, 'getBufferedBytes' | 'send'> = {
		getBufferedBytes: () => 0,
		send(frame) {
			frames.push(frame);
		},
	};
	const ignore = (): void => undefined;
	const link = new ControlLink({
		id: 'link',
		dialerId: 'a-1',
		connection: connection as FrameConnection,
		channel: new ControlChannel({maxBufferBytes: 1000, maxFrameBytes: 1000}),
		handlers: {
			onLogicalTime: ignore, onAddresses: ignore, onHeartbeat: ignore, onReports: ignore, onMessage: ignore, onBye: ignore, onFault: ignore,
		},
	});
	return {
		frames,
		link,
		send(content: Partial<HeartbeatContent>): Heartbeat {
			link.sendHeartbeat({
				logicalTime: 1, body, reports: [], ...content,
			});
			const decoded = decodeValue(frames.at(-1)!.subarray(frameHeaderBytes));
			return (decoded.ok ? decoded.value : undefined) as Heartbeat;
		},
	};
}

function createReport(reporter: string, beat: number): CompleteReport {
	return {reporter, beat, view: {dataCenter: 'dc2', members: []}};
}

test('a report is sent over a link once per beat, with its view only when that is new', t => {
	const {send} = createFixture();
	const first = createReport('b-1', 1);
	t.deepEqual(send({reports: [first]}).reports, [first]);
	t.is(send({reports: [first]}).reports, undefined);
	t.deepEqual(send({reports: [{...first, beat: 2}]}).reports, [{reporter: 'b-1', beat: 2}]);
	t.is(send({reports: [{...first, beat: 2}]}).reports, undefined);
	const changed = {...createReport('b-1', 2), view: {dataCenter: 'dc2', members: []}};
	t.deepEqual(send({reports: [changed]}).reports, [changed]);
});

test('a report that was sent over one link is sent over another', t => {
	const report = createReport('b-1', 1);
	const frames = new HeartbeatFrames();
	t.deepEqual(createFixture().send({reports: [report], frames}).reports, [report]);
	t.deepEqual(createFixture().send({reports: [report], frames}).reports, [report]);
});

test('links share the frames of equal heartbeats, and only of those', t => {
	const first = createFixture();
	const second = createFixture();
	const report = createReport('b-1', 1);
	for (const {send} of [first, second]) {
		send({reports: [report]});
	}

	const frames = new HeartbeatFrames();
	const contents: ReadonlyArray<Partial<HeartbeatContent>> = [
		{frames}, {frames, nextMs: 200}, {frames, logicalTime: 2}, {frames, reports: [{...report, beat: 2}]}, {frames, reports: [{...report, beat: 3}]},
	];
	for (const content of contents) {
		const sent = first.send(content);
		t.deepEqual(second.send(content), sent);
		t.is(second.frames.at(-1), first.frames.at(-1));
	}

	t.is(new Set(first.frames).size, contents.length + 1);
	t.is(first.send({frames, body: encodeHeartbeatBody({configurationVersion: 2, isLeaving: false, load: {free: 1}})}).status?.configurationVersion, 2);
	t.is(second.send({frames}).status, undefined);
});

test('what is passed on is sent over a link once per revision, and in the shared frames of the links that have not sent it', t => {
	const first = createFixture();
	const second = createFixture();
	const b = {name: 'b', revision: 1, value: {cores: 1}};
	const c = {name: 'c', revision: 2, value: {cores: 2}};
	t.deepEqual(first.send({relayed: [b]}).relayed, {b: b.value});
	t.false('relayed' in first.send({relayed: [b]}));
	second.send({});
	const frames = new HeartbeatFrames();
	t.deepEqual(first.send({relayed: [b, c], frames}).relayed, {c: c.value});
	t.deepEqual(second.send({relayed: [b, c], frames}).relayed, {b: b.value, c: c.value});
	t.false('relayed' in first.send({relayed: [b, c], frames}));
});
