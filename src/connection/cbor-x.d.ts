/**
 * Types of a part of the library whose own declaration of them cannot be resolved.
 */
declare module 'cbor-x/decode-no-eval' {
	export {Decoder, setSizeLimits} from 'cbor-x';

	/**
	 * Sets the function that decodes the texts of all values.
	 * @param extract - Decodes the text of `byteLength` bytes that begins at `start` of the encoded value, which ends at `sourceEnd`.
	 */
	export function setExtractor(extract: (start: number, sourceEnd: number, byteLength: number, source: Uint8Array) => string): void;
}
