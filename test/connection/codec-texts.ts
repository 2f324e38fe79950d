/**
 * Texts that a codec must carry unchanged.
 */
import fc from 'fast-check';

export const byteOrderMark = '\uFEFF';

/** Sizes around the limits at which decoders change the way they read a text. */
const longText = fc.tuple(fc.constantFrom('a', 'é', '席', '🎟', byteOrderMark), fc.integer({min: 0, max: 5000})).map(([character, length]) => character.repeat(length));

/** Any well-formed text, also with byte order marks and of more than 64 bytes. */
export const anyText = fc.tuple(fc.constantFrom('', byteOrderMark, byteOrderMark.repeat(2)), fc.oneof(fc.string({unit: 'binary', maxLength: 200}), longText)).map(parts => parts.join(''));
