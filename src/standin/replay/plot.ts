import type { Sample } from "./sample.ts";
import type { Trace } from "./trace.ts";

const WIDTH = 900;
const PANEL_HEIGHT = 160;
const MARGIN = 60;
const GAP = 50;
const COLORS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b"];

interface PlotLine {
  readonly name: string;
  readonly values: readonly number[];
}

interface PlotPanel {
  readonly title: string;
  readonly lines: readonly PlotLine[];
}

/**
 * Draws latency, workers and cost of a replay over time, with marks for the faults.
 *
 * @returns An SVG document. The same samples give the same text.
 */
export function plotReplay(trace: Trace, samples: readonly Sample[]): string {
  const groups = [...new Set(samples.flatMap(({ firstToken }) => Object.keys(firstToken)))].sort();
  const panels: PlotPanel[] = [
    {
      title: "time to the first token, 95th percentile, ms",
      lines: groups.map((name) => ({
        name,
        values: samples.map(({ firstToken }) => firstToken[name] ?? 0),
      })),
    },
    {
      title: "workers",
      lines: [
        { name: "reclaimable", values: samples.map(({ reclaimable }) => reclaimable) },
        { name: "on demand", values: samples.map(({ onDemand }) => onDemand) },
      ],
    },
    { title: "cost, EUR", lines: [{ name: "total", values: samples.map(({ cost }) => cost) }] },
  ];
  const end = Math.max(1, samples.at(-1)?.at ?? 1);
  const toX = (at: number): number => MARGIN + (at / end) * (WIDTH - 2 * MARGIN);
  const times = samples.map(({ at }) => toX(at));
  const drawnPanels = panels.map((panel, index) => {
    const top = MARGIN + index * (PANEL_HEIGHT + GAP);
    return [
      ...drawPanel(panel, { top, times }),
      ...trace.faults.map((fault) => drawFault(toX(fault.t), { top, kind: fault.kind })),
    ].join("\n");
  });
  const height = MARGIN + panels.length * (PANEL_HEIGHT + GAP);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    formatText(MARGIN, MARGIN / 2, trace.header.name),
    ...drawnPanels,
    "</svg>\n",
  ].join("\n");
}

function drawPanel(
  { title, lines }: PlotPanel,
  { top, times }: { top: number; times: readonly number[] },
): string[] {
  const max = Math.max(1e-9, ...lines.flatMap(({ values }) => values));
  const bottom = top + PANEL_HEIGHT;
  const toY = (value: number): number => bottom - (value / max) * PANEL_HEIGHT;
  const right = WIDTH - MARGIN;
  return [
    `<path d="M${MARGIN} ${top}V${bottom}H${right}" fill="none" stroke="#888"/>`,
    formatText(MARGIN, top - 6, `${title} (at most ${formatNumber(max)})`),
    ...lines.flatMap(({ name, values }, index) => {
      const colour = COLORS[index % COLORS.length] ?? "black";
      const points = values.map(
        (value, timeIndex) => `${formatNumber(times[timeIndex] ?? 0)},${formatNumber(toY(value))}`,
      );
      return [
        `<polyline points="${points.join(" ")}" fill="none" stroke="${colour}"/>`,
        formatText(MARGIN + 380 + index * 150, top - 6, name, colour),
      ];
    }),
  ];
}

function drawFault(x: number, { top, kind }: { top: number; kind: string }): string {
  const at = formatNumber(x);
  return [
    `<path d="M${at} ${top}v${PANEL_HEIGHT}" stroke="#c00" stroke-dasharray="3 3"/>`,
    formatText(Number(at) + 3, top + 12, kind, "#c00"),
  ].join("");
}

function formatText(x: number, y: number, content: string, colour = "black"): string {
  const escaped = content.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
  return `<text x="${x}" y="${y}" fill="${colour}">${escaped}</text>`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 100) / 100);
}
