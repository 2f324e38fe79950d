/**
 * The JSON Schema of the declarations, for editors.
 */
import * as z from 'zod';
import {declarationsSchema} from './configuration.js';

/** Gets the JSON Schema of one file of declarations. */
export function getDeclarationsJsonSchema(): Readonly<Record<string, unknown>> {
	return {title: 'endivemill declarations', ...z.toJSONSchema(declarationsSchema, {io: 'input'})};
}
