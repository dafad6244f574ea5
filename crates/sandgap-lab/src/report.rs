//! Writes the results of an experiment: CSV and JSON files for other programs, and one self-contained HTML page.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use crate::rivals::PolicyKind;
use crate::run::{Cell, Cost, MEASURES, Results, point_text};
use crate::stats::{Estimate, paired};

/// Errors of writing a report or reading results.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file or folder can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A CSV table can't be written.
    #[error("can't write a CSV table: {0}")]
    Table(#[from] csv::Error),
    /// A plot can't be drawn, or a finished CSV table can't be flushed.
    #[error("can't draw a plot: {0}")]
    Plot(String),
    /// Results that can't be written or read as JSON.
    #[error("{0}: {1}")]
    Results(PathBuf, serde_json::Error),
}

/// Writes `runs.csv`, `summary.csv`, `results.json`, `report.html` and, where decisions were timed, `cost.csv`.
///
/// # Errors
/// If a file can't be written, or a table or plot can't be made.
pub fn write(results: &Results, costs: Option<&[Cost]>, folder: &Path) -> Result<(), ReportError> {
    let write_file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| ReportError::File(path, e))
    };
    std::fs::create_dir_all(folder).map_err(|e| ReportError::File(folder.to_owned(), e))?;
    write_file("runs.csv", &runs_csv(results)?)?;
    write_file("summary.csv", &summary_csv(results)?)?;
    let path = folder.join("results.json");
    let json = serde_json::to_string_pretty(results).map_err(|e| ReportError::Results(path, e))?;
    write_file("results.json", &json)?;
    write_file("report.html", &html_page(results)?)?;
    if let Some(costs) = costs {
        let mut table = csv::Writer::from_writer(Vec::new());
        costs.iter().try_for_each(|c| table.serialize(c))?;
        write_file("cost.csv", &csv_text(table)?)?;
    }
    Ok(())
}

/// Reads the `results.json` of a folder.
///
/// # Errors
/// If the file can't be read or does not hold valid results.
pub fn read(folder: &Path) -> Result<Results, ReportError> {
    let path = folder.join("results.json");
    let text = std::fs::read_to_string(&path).map_err(|e| ReportError::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| ReportError::Results(path, e))
}

fn csv_text(table: csv::Writer<Vec<u8>>) -> Result<String, ReportError> {
    let bytes = table.into_inner().map_err(|e| ReportError::Plot(e.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn runs_csv(results: &Results) -> Result<String, ReportError> {
    let mut table = csv::Writer::from_writer(Vec::new());
    let header =
        ["point", "policy", "seed", "broken", "fallen"].into_iter().chain(MEASURES.iter().map(|m| m.0));
    table.write_record(header)?;
    for c in &results.cells {
        for r in &c.runs {
            let columns = [
                point_text(&c.set),
                c.policy.name(),
                r.seed.to_string(),
                r.broken.to_string(),
                r.fallen.to_string(),
            ];
            table.write_record(columns.into_iter().chain(r.figures.iter().map(f64::to_string)))?;
        }
    }
    csv_text(table)
}

fn summary_csv(results: &Results) -> Result<String, ReportError> {
    let mut table = csv::Writer::from_writer(Vec::new());
    table.write_record(["point", "policy", "measure", "mean", "half_width", "deviation", "runs"])?;
    for c in &results.cells {
        for (e, (name, _)) in c.estimates.iter().zip(MEASURES) {
            let figures = [e.mean, e.half, e.deviation].map(|x| x.to_string());
            let columns = [point_text(&c.set), c.policy.name(), name.into()];
            table.write_record(columns.into_iter().chain(figures).chain([e.count.to_string()]))?;
        }
    }
    csv_text(table)
}

/// Measures shown on the HTML page, as indices into [`MEASURES`].
const PLOTTED: [usize; 4] = [0, 3, 5, 7];

fn html_page(results: &Results) -> Result<String, ReportError> {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style>\
         <h1>{0}</h1><p>{1}</p><p class=\"method\">{2}.</p>",
        escape(&results.name),
        escape(&results.about),
        escape(&results.method)
    );
    let broken: usize = results.cells.iter().flat_map(|c| &c.runs).map(|r| r.broken).sum();
    let unchecked = results.cells.iter().flat_map(|c| &c.runs).filter(|r| r.incomplete).count();
    let _ = write!(
        page,
        "<p>The four rules: {}",
        if broken == 0 { "none broken" } else { "<b>BROKEN</b>, see runs.csv" }
    );
    let _ = write!(
        page,
        "{}.</p>",
        if unchecked > 0 { format!("; {unchecked} runs could not be checked") } else { String::new() }
    );
    let policies = policies(results);
    let swept_keys: Vec<&str> =
        results.cells.first().map_or_else(Vec::new, |c| c.set.iter().map(|s| s.0.as_str()).collect());
    for i in PLOTTED {
        let (name, about) = MEASURES[i];
        let _ = write!(page, "<h2>{name}</h2><p>{about}</p>");
        if swept_keys.len() == 1 {
            page.push_str(&sweep_plot(results, &policies, i, swept_keys[0])?);
        }
        measure_table(&mut page, results, &policies, i);
    }
    page.push_str("<h2>goodput over time</h2><p>goodput by the time of a task's first try</p>");
    for (set, cells) in by_point(results) {
        if results.cells.len() > 40 * policies.len() {
            break; // more than 40 points: too many plots for one page
        }
        let _ = write!(page, "<h3>{}</h3>", escape(&set));
        page.push_str(&course_plot(&cells)?);
        course_table(&mut page, &cells);
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn policies(results: &Results) -> Vec<PolicyKind> {
    let mut all: Vec<PolicyKind> = results.cells.iter().map(|c| c.policy).collect();
    all.sort_unstable();
    all.dedup();
    all
}

fn by_point(results: &Results) -> Vec<(String, Vec<&Cell>)> {
    let mut all: Vec<(String, Vec<&Cell>)> = Vec::new();
    for c in &results.cells {
        let name = point_text(&c.set);
        match all.last_mut().filter(|l| l.0 == name) {
            Some(last) => last.1.push(c),
            None => all.push((name, vec![c])),
        }
    }
    all
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn format_estimate(e: &Estimate) -> String {
    let digits = if e.mean.abs() < 10.0 { 4 } else { 1 };
    if e.half.is_finite() {
        format!("{:.digits$} ± {:.digits$}", e.mean, e.half)
    } else {
        format!("{:.digits$}", e.mean)
    }
}

/// Writes a table with a row for each point and a column for each policy; every other policy is compared with the
/// first one, seed by seed.
fn measure_table(page: &mut String, results: &Results, policies: &[PolicyKind], measure: usize) {
    page.push_str("<table><tr><th>point</th>");
    for p in policies {
        let _ = write!(page, "<th>{}</th>", p.name());
    }
    page.push_str("</tr>");
    for (set, cells) in by_point(results) {
        let _ = write!(page, "<tr><td>{}</td>", escape(&set));
        let first = cells.iter().find(|c| c.policy == policies[0]);
        for p in policies {
            let Some(c) = cells.iter().find(|c| c.policy == *p) else {
                page.push_str("<td></td>");
                continue;
            };
            let note = match first.filter(|f| f.policy != *p) {
                Some(f) => {
                    let samples = |c: &Cell| c.runs.iter().map(|r| r.figures[measure]).collect::<Vec<f64>>();
                    let d = paired(&samples(f), &samples(c));
                    if d.is_significant() { "" } else { "<br><i>no significant difference</i>" }
                }
                None => "",
            };
            let _ = write!(page, "<td>{}{note}</td>", format_estimate(&c.estimates[measure]));
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
}

fn course_table(page: &mut String, cells: &[&Cell]) {
    page.push_str("<details><summary>table</summary><table><tr><th>s</th>");
    for c in cells {
        let _ = write!(page, "<th>{}</th>", c.policy.name());
    }
    page.push_str("</tr>");
    let rows = cells.first().map_or(0, |c| c.course.len());
    for i in 0..rows {
        let _ = write!(page, "<tr><td>{:.2}</td>", cells[0].course[i].0);
        for c in cells {
            let _ = match c.course.get(i) {
                Some((_, g)) => write!(page, "<td>{g:.4}</td>"),
                None => write!(page, "<td></td>"),
            };
        }
        page.push_str("</tr>");
    }
    page.push_str("</table></details>");
}

/// The series of a plot: a name and its points as (x, y, half the width of the interval).
type Series = Vec<(String, Vec<(f64, f64, f64)>)>;

fn sweep_plot(
    results: &Results, policies: &[PolicyKind], measure: usize, key: &str,
) -> Result<String, ReportError> {
    let mut series: Series = Vec::new();
    for p in policies {
        let cells = results.cells.iter().filter(|c| c.policy == *p);
        let points = cells.filter_map(|c| {
            let x: f64 = c.set.first()?.1.parse().ok()?;
            let e = &c.estimates[measure];
            Some((x, e.mean, if e.half.is_finite() { e.half } else { 0.0 }))
        });
        series.push((p.name(), points.collect()));
    }
    plot(&series, key, MEASURES[measure].0)
}

fn course_plot(cells: &[&Cell]) -> Result<String, ReportError> {
    let series: Series = cells
        .iter()
        .map(|c| (c.policy.name(), c.course.iter().map(|(x, y)| (*x, *y, 0.0)).collect()))
        .collect();
    plot(&series, "s", "goodput")
}

/// Colours that stay distinct on light and dark backgrounds and with red-green colour blindness (after Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(128, 128, 128),
    RGBColor(180, 170, 20),
];
/// Colour of axes and labels; the page's style sheet replaces it with the text colour.
const AXIS_COLOUR: RGBColor = RGBColor(1, 1, 1);

fn plot(series: &Series, x_name: &str, y_name: &str) -> Result<String, ReportError> {
    let points = || series.iter().flat_map(|l| &l.1);
    if points().count() < 2 {
        return Ok(String::new());
    }
    let fold = |f: fn(f64, f64) -> f64, start: f64, of: &dyn Fn(&(f64, f64, f64)) -> f64| {
        points().map(of).fold(start, f)
    };
    let x = (fold(f64::min, f64::INFINITY, &|p| p.0), fold(f64::max, f64::NEG_INFINITY, &|p| p.0));
    let y = (fold(f64::min, 0.0, &|p| p.1 - p.2), fold(f64::max, 1e-9, &|p| p.1 + p.2) * 1.05);
    let plot_error = |e: &dyn std::fmt::Display| ReportError::Plot(e.to_string());
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (860, 340)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(38)
            .y_label_area_size(62)
            .build_cartesian_2d(x.0..(x.1 + 1e-9), y.0..y.1)
            .map_err(|e| plot_error(&e))?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .axis_style(AXIS_COLOUR)
            .light_line_style(TRANSPARENT)
            .bold_line_style(AXIS_COLOUR.mix(0.15))
            .label_style(("sans-serif", 13).into_font().color(&AXIS_COLOUR))
            .draw()
            .map_err(|e| plot_error(&e))?;
        for ((name, all), colour) in series.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(all.iter().map(|p| (p.0, p.1)), colour.stroke_width(2));
            let drawn = chart.draw_series(line).map_err(|e| plot_error(&e))?;
            let colour = *colour;
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
            let bars = all.iter().filter(|p| p.2 > 0.0);
            let bars = bars
                .map(|p| PathElement::new(vec![(p.0, p.1 - p.2), (p.0, p.1 + p.2)], colour.stroke_width(1)));
            chart.draw_series(bars).map_err(|e| plot_error(&e))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .label_font(("sans-serif", 12).into_font().color(&AXIS_COLOUR))
            .draw()
            .map_err(|e| plot_error(&e))?;
        root.present().map_err(|e| plot_error(&e))?;
    }
    Ok(svg)
}

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#1a1a1a;\
background:#fff}table{border-collapse:collapse;margin:.5em 0}td,th{padding:.15em .7em;border-bottom:1px solid \
#8884;text-align:right}td:first-child,th:first-child{text-align:left}.method{opacity:.7}svg{max-width:100%;\
height:auto}svg [fill=\"#010101\"]{fill:currentColor}svg [stroke=\"#010101\"]{stroke:currentColor}\
@media (prefers-color-scheme:dark){body{color:#ddd;background:#15171a}}";

/// Lists the measures that differ significantly between two results, cell by cell; samples are paired by seed where
/// both have the same seeds.
pub fn compare(a: &Results, b: &Results) -> String {
    let mut out = String::new();
    let (mut moved, mut unchanged, mut unmatched) = (0, 0, 0);
    for ca in &a.cells {
        let Some(cb) = b.cells.iter().find(|c| c.set == ca.set && c.policy == ca.policy) else {
            unmatched += 1;
            continue;
        };
        let same_seeds =
            ca.runs.len() == cb.runs.len() && ca.runs.iter().zip(&cb.runs).all(|(x, y)| x.seed == y.seed);
        for (i, (name, _)) in MEASURES.iter().enumerate() {
            let samples = |c: &Cell| c.runs.iter().map(|r| r.figures[i]).collect::<Vec<f64>>();
            let d = if same_seeds {
                paired(&samples(ca), &samples(cb))
            } else {
                crate::stats::difference(&ca.estimates[i], &cb.estimates[i])
            };
            if d.is_significant() {
                moved += 1;
                let _ = writeln!(
                    out,
                    "{} | {} | {name}: {:.4} -> {:.4} ({:+.4} ± {:.4})",
                    point_text(&ca.set),
                    ca.policy.name(),
                    ca.estimates[i].mean,
                    cb.estimates[i].mean,
                    d.mean,
                    d.half
                );
            } else {
                unchanged += 1;
            }
        }
    }
    let _ = writeln!(
        out,
        "{moved} figures moved beyond noise, {unchanged} did not (at 95%; of {} figures without a real change, about {} would be reported as moved)",
        moved + unchanged,
        (moved + unchanged) / 20
    );
    if unmatched > 0 {
        let _ = writeln!(out, "{unmatched} cells of the first results have no counterpart in the second");
    }
    out
}
