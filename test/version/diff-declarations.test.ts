import test from 'ava';
import {type Declarations, declarationsSchema, diffDeclarations} from '../../src/version/index.js';

const before: Declarations = declarationsSchema.parse({
	profiles: {fast: {}},
	services: {seats: {profile: 'fast'}},
	teams: {desk: {weight: 2, maxSlots: 4}, old: {}},
});

test('equal declarations have no difference', t => {
	t.deepEqual(diffDeclarations(before, structuredClone(before)), []);
});

test('additions, removals and changed fields are distinguished', t => {
	const after = declarationsSchema.parse({
		profiles: {fast: {}},
		services: {constructor: {profile: 'fast'}, seats: {profile: 'fast'}},
		teams: {desk: {weight: 3}},
	});
	const changes = diffDeclarations(before, after);
	t.deepEqual(changes.map(({section, name, kind}) => `${kind} ${section}/${name}`), ['added services/constructor', 'changed teams/desk', 'removed teams/old']);
	t.deepEqual(changes[1]?.fields, [{field: 'maxSlots', from: 4, to: undefined}, {field: 'weight', from: 2, to: 3}]);
});
