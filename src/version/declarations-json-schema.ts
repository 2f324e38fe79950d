/**
 * JSON Schema of the declarations, for validation and completion in editors.
 */
import * as z from 'zod';
import {declarationsSchema} from './configuration.js';

/** Gets the JSON Schema of a file of declarations. */
export function getDeclarationsJsonSchema(): Readonly<Record<string, unknown>> {
	return {title: 'endivemill declarations', ...z.toJSONSchema(declarationsSchema, {io: 'input'})};
}
