import {runHistory} from '../test/history/history-run.js';
const kinds = process.argv[3] ? process.argv[3].split(',') as never : undefined;
for (const seed of process.argv[2]!.split(',').map(Number)) {
 const t = performance.now();
 const r = await runHistory({seed, faultKinds: kinds, faultCount: process.argv[4] ? Number(process.argv[4]) : undefined});
 console.log(seed, Math.round(performance.now()-t)+'ms', JSON.stringify(r.outcomes), 'starts', r.starts, r.faults.map(f => f.kind + '@' + Math.round(f.atMs)).join(' '));
 const problems: Record<string, number> = {}; for (const x of r.records) if (x.kind === 'answer' && x.problemType) { const k = x.outcome + ':' + x.problemType.split(':').pop(); problems[k] = (problems[k] ?? 0) + 1; } else if (x.kind === 'no-answer') { problems[x.reason] = (problems[x.reason] ?? 0) + 1; }
 console.log('  ', JSON.stringify(problems));
 const byRule: Record<string, string[]> = {}; for (const v of r.violations) (byRule[v.rule] ??= []).push(v.subject + ' ' + v.detail);
 for (const [rule, list] of Object.entries(byRule)) console.log('   VIOLATION', rule, list.length, list.slice(0, 3).join(' | '));
}
process.exit(0);
