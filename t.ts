import { startEmbedded } from "./src/cli/embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue } from "./src/cli/template/index.ts";
import { play } from "./src/cli/demo/scenario.ts";
import { systemClock } from "./src/process/index.ts";
import { createSeededRandom } from "./src/interface/index.ts";
const keys=accountKeys(ASSOCIATION);
const k=(...n:string[])=>n.map(x=>keys[x]!);
const d=await startEmbedded({port:0,entryInstances:3,workers:{"entry-model":4,"finish-desk":4},zones:ASSOCIATION.zones,source:documentValue(ASSOCIATION,keys),preset:"day",operatorKey:"operator-key"});
const ev=await play({streams:[{name:"lookup",service:"finish-desk",clientKeys:k("finish-tent","federation"),rate:15,answerTokens:{least:4,most:16},onceShare:0.1,promptWords:20},{name:"script",service:"entry-model",clientKeys:k("club-sofia","federation","club-varna"),rate:4,answerTokens:{least:60,most:300},onceShare:0.3,promptWords:200}],duration:8000,reclaim:{zone:"sofia-b",at:4000,within:4000},preset:{name:"peak",at:7000},patience:30000},{deployment:d,operatorKey:"operator-key",clock:systemClock,random:createSeededRandom(Number(process.argv[2]??1)),progress:console.log});
for(const e of ev.errands){const seq=e.tokens.map(t=>Number(/\d+/.exec(t.text)?.[0]));const bad=seq.findIndex((v,i)=>v!==i);
 if(e.end!=="complete"||bad>=0||seq.length!==e.errand.answerTokens)console.log(e.id,e.end,e.reason,"want",e.errand.answerTokens,"got",seq.length,"bad at",bad,seq.slice(Math.max(0,bad-2),bad+3),"reconnects",e.reconnects,"rep",e.errand.repeatable,ev.runs.filter(r=>r.id===e.id));}
for(const e of d.entries)console.log(e.self.id,[...e.core.counters.values].filter(([k])=>/triage|export|recomp|retried|refused|fault/.test(k)&&!/ 0$/.test(k)).filter(([,v])=>v>0).join(" "));
console.time("close");await d.close();console.timeEnd("close");
