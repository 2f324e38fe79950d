/**
 * Draws the results as an SVG: ratio of mean to ideal response time by load, one curve per policy.
 */
import {type ReportLine} from '../policy.js';

const width = 720;
const height = 420;
const margin = 50;
const legendWidth = 220;
const maxRatio = 4;
const colors = ['#888888', '#bbbbbb', '#1b9e77', '#d95f02', '#7570b3', '#e7298a', '#66a61e', '#e6ab02', '#a6761d', '#1f78b4', '#b2df8a'];

/**
 * Creates the plot as SVG text.
 * @param lines - Results; only those of the first line's scenario are drawn.
 */
export function createPlot(lines: readonly ReportLine[]): string {
	const shownLines = lines.filter(line => line.scenario === lines[0]!.scenario);
	const policies = [...new Set(shownLines.map(line => line.policy))];
	const loads = [...new Set(shownLines.map(line => line.load))];
	const getX = (load: number): number => margin + ((loads.indexOf(load) + 0.5) * (width - legendWidth - margin) / loads.length);
	const getY = (ratio: number): number => height - margin - ((Math.min(ratio, maxRatio) - 1) * (height - (2 * margin)) / (maxRatio - 1));
	const curves = policies.map((policy, index) => {
		const points = shownLines.filter(line => line.policy === policy).map(line => `${getX(line.load).toFixed(1)},${getY(line.mean).toFixed(1)}`);
		const color = colors[index % colors.length]!;
		const y = margin + (index * 18);
		return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${points.join(' ')}"/>
<text x="${width - legendWidth + 10}" y="${y}" fill="${color}" font-size="12">${policy}</text>`;
	});
	const ticks = [1, 2, 3, 4].map(ratio => `<text x="20" y="${getY(ratio)}" font-size="12">${ratio}</text>
<line x1="${margin}" x2="${width - legendWidth}" y1="${getY(ratio)}" y2="${getY(ratio)}" stroke="#eeeeee"/>`);
	const labels = loads.map(load => `<text x="${getX(load) - 12}" y="${height - 25}" font-size="12">${load * 100}%</text>`);
	return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif">
<rect width="${width}" height="${height}" fill="white"/>
<text x="${margin}" y="20" font-size="14">Mean response divided by the longest own task, by load (values above ${maxRatio} are drawn at ${maxRatio})</text>
${ticks.join('\n')}
${labels.join('\n')}
${curves.join('\n')}
</svg>
`;
}
