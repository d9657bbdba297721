/** Plots scenario reports as SVG. */
import { type TopLevelSpec } from 'vega-lite';
import { type ScenarioReport } from './scenario.js';

interface Bar {
  readonly name: string;
  readonly kind: string;
  readonly value: number;
}

/**
 * Plots each target next to its measured value as a bar chart.
 *
 * @param title - title of the plot
 * @param report - the report whose targets are plotted
 * @returns an SVG document
 */
export async function plotReport(title: string, report: ScenarioReport): Promise<string> {
  const values = report.targets.flatMap(({ name, target, measured }): Bar[] => [
    { name, kind: 'target', value: target },
    { name, kind: 'measured', value: measured },
  ]);
  const specification: TopLevelSpec = {
    title,
    data: { values },
    mark: 'bar',
    encoding: {
      row: { field: 'name', type: 'nominal', title: null },
      y: { field: 'kind', type: 'nominal', title: null },
      x: { field: 'value', type: 'quantitative', title: null },
      color: { field: 'kind', type: 'nominal' },
    },
    resolve: { scale: { x: 'independent' } },
  };
  const { parse, View } = await import('vega');
  const { compile } = await import('vega-lite');
  return new View(parse(compile(specification).spec), { renderer: 'none' }).toSVG();
}
