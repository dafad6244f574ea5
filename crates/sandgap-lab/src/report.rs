//! What an experiment leaves behind: CSV and JSON for other programs, and one HTML page that needs nothing else.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use crate::rivals::PolicyKind;
use crate::run::{Cell, Cost, MEASURES, Results, words};
use crate::stats::{Estimate, paired};

/// A report that can't be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A table.
    #[error("a table can't be written: {0}")]
    Table(#[from] csv::Error),
    /// A plot.
    #[error("a plot can't be drawn: {0}")]
    Plot(String),
    /// Results that can't be read.
    #[error("{0}: {1}")]
    Results(PathBuf, serde_json::Error),
}

/// Writes `runs.csv`, `summary.csv`, `results.json`, `report.html` and, where decisions were timed, `cost.csv`.
///
/// # Errors
/// Whatever can't be written.
pub fn write(results: &Results, costs: Option<&[Cost]>, folder: &Path) -> Result<(), ReportError> {
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| ReportError::File(path, e))
    };
    std::fs::create_dir_all(folder).map_err(|e| ReportError::File(folder.to_owned(), e))?;
    file("runs.csv", &runs(results)?)?;
    file("summary.csv", &summary(results)?)?;
    let path = folder.join("results.json");
    let json = serde_json::to_string_pretty(results).map_err(|e| ReportError::Results(path, e))?;
    file("results.json", &json)?;
    file("report.html", &html(results)?)?;
    if let Some(costs) = costs {
        let mut table = csv::Writer::from_writer(Vec::new());
        costs.iter().try_for_each(|c| table.serialize(c))?;
        file("cost.csv", &text(table)?)?;
    }
    Ok(())
}

/// Reads `results.json` of a folder.
///
/// # Errors
/// A file that can't be read or is no such result.
pub fn read(folder: &Path) -> Result<Results, ReportError> {
    let path = folder.join("results.json");
    let text = std::fs::read_to_string(&path).map_err(|e| ReportError::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| ReportError::Results(path, e))
}

fn text(table: csv::Writer<Vec<u8>>) -> Result<String, ReportError> {
    let bytes = table.into_inner().map_err(|e| ReportError::Plot(e.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn runs(results: &Results) -> Result<String, ReportError> {
    let mut table = csv::Writer::from_writer(Vec::new());
    let head =
        ["point", "policy", "seed", "broken", "fallen"].into_iter().chain(MEASURES.iter().map(|m| m.0));
    table.write_record(head)?;
    for c in &results.cells {
        for r in &c.runs {
            let plain = [
                words(&c.set),
                c.policy.name(),
                r.seed.to_string(),
                r.broken.to_string(),
                r.fallen.to_string(),
            ];
            table.write_record(plain.into_iter().chain(r.figures.iter().map(f64::to_string)))?;
        }
    }
    text(table)
}

fn summary(results: &Results) -> Result<String, ReportError> {
    let mut table = csv::Writer::from_writer(Vec::new());
    table.write_record(["point", "policy", "measure", "mean", "half_width", "deviation", "runs"])?;
    for c in &results.cells {
        for (e, (name, _)) in c.estimates.iter().zip(MEASURES) {
            let figures = [e.mean, e.half, e.deviation].map(|x| x.to_string());
            let plain = [words(&c.set), c.policy.name(), name.into()];
            table.write_record(plain.into_iter().chain(figures).chain([e.count.to_string()]))?;
        }
    }
    text(table)
}

/// Measures that get a plot.
const PLOTTED: [usize; 4] = [0, 3, 5, 7];

fn html(results: &Results) -> Result<String, ReportError> {
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
    let unsure = results.cells.iter().flat_map(|c| &c.runs).filter(|r| r.incomplete).count();
    let _ = write!(
        page,
        "<p>The four rules: {}",
        if broken == 0 { "none broken" } else { "<b>BROKEN</b>, see runs.csv" }
    );
    let _ = write!(
        page,
        "{}.</p>",
        if unsure > 0 { format!("; {unsure} runs could not be checked") } else { String::new() }
    );
    let policies = policies(results);
    let swept: Vec<&str> =
        results.cells.first().map_or_else(Vec::new, |c| c.set.iter().map(|s| s.0.as_str()).collect());
    for i in PLOTTED {
        let (name, about) = MEASURES[i];
        let _ = write!(page, "<h2>{name}</h2><p>{about}</p>");
        if swept.len() == 1 {
            page.push_str(&sweep_plot(results, &policies, i, swept[0])?);
        }
        table(&mut page, results, &policies, i);
    }
    page.push_str("<h2>course</h2><p>goodput by the second in which a task was first asked</p>");
    for (set, cells) in by_point(results) {
        if results.cells.len() > 40 * policies.len() {
            break; // a page of plots that nobody reads
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
        let name = words(&c.set);
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

fn shown(e: &Estimate) -> String {
    let digits = if e.mean.abs() < 10.0 { 4 } else { 1 };
    if e.half.is_finite() {
        format!("{:.digits$} ± {:.digits$}", e.mean, e.half)
    } else {
        format!("{:.digits$}", e.mean)
    }
}

/// One row a point, one column a policy; each rival is held against the first one, seed by seed.
fn table(page: &mut String, results: &Results, policies: &[PolicyKind], measure: usize) {
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
                    let of = |c: &Cell| c.runs.iter().map(|r| r.figures[measure]).collect::<Vec<f64>>();
                    let d = paired(&of(f), &of(c));
                    if d.is_told_apart() { "" } else { "<br><i>not told apart</i>" }
                }
                None => "",
            };
            let _ = write!(page, "<td>{}{note}</td>", shown(&c.estimates[measure]));
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

/// Lines of one plot: a name and its points, each with half an interval.
type Lines = Vec<(String, Vec<(f64, f64, f64)>)>;

fn sweep_plot(
    results: &Results, policies: &[PolicyKind], measure: usize, key: &str,
) -> Result<String, ReportError> {
    let mut lines: Lines = Vec::new();
    for p in policies {
        let cells = results.cells.iter().filter(|c| c.policy == *p);
        let points = cells.filter_map(|c| {
            let x: f64 = c.set.first()?.1.parse().ok()?;
            let e = &c.estimates[measure];
            Some((x, e.mean, if e.half.is_finite() { e.half } else { 0.0 }))
        });
        lines.push((p.name(), points.collect()));
    }
    plot(&lines, key, MEASURES[measure].0)
}

fn course_plot(cells: &[&Cell]) -> Result<String, ReportError> {
    let lines: Lines = cells
        .iter()
        .map(|c| (c.policy.name(), c.course.iter().map(|(x, y)| (*x, *y, 0.0)).collect()))
        .collect();
    plot(&lines, "s", "goodput")
}

/// Colours that can be told apart on light and dark ground, also by those who see no red or green (after Okabe
/// and Ito).
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
/// Axes and letters: the page's style gives them its own colour.
const INK: RGBColor = RGBColor(1, 1, 1);

fn plot(lines: &Lines, x_name: &str, y_name: &str) -> Result<String, ReportError> {
    let points = || lines.iter().flat_map(|l| &l.1);
    if points().count() < 2 {
        return Ok(String::new());
    }
    let fold = |f: fn(f64, f64) -> f64, start: f64, of: &dyn Fn(&(f64, f64, f64)) -> f64| {
        points().map(of).fold(start, f)
    };
    let x = (fold(f64::min, f64::INFINITY, &|p| p.0), fold(f64::max, f64::NEG_INFINITY, &|p| p.0));
    let y = (fold(f64::min, 0.0, &|p| p.1 - p.2), fold(f64::max, 1e-9, &|p| p.1 + p.2) * 1.05);
    let failed = |e: &dyn std::fmt::Display| ReportError::Plot(e.to_string());
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (860, 340)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(38)
            .y_label_area_size(62)
            .build_cartesian_2d(x.0..(x.1 + 1e-9), y.0..y.1)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .axis_style(INK)
            .light_line_style(TRANSPARENT)
            .bold_line_style(INK.mix(0.15))
            .label_style(("sans-serif", 13).into_font().color(&INK))
            .draw()
            .map_err(|e| failed(&e))?;
        for ((name, all), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(all.iter().map(|p| (p.0, p.1)), colour.stroke_width(2));
            let drawn = chart.draw_series(line).map_err(|e| failed(&e))?;
            let colour = *colour;
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
            let bars = all.iter().filter(|p| p.2 > 0.0);
            let bars = bars
                .map(|p| PathElement::new(vec![(p.0, p.1 - p.2), (p.0, p.1 + p.2)], colour.stroke_width(1)));
            chart.draw_series(bars).map_err(|e| failed(&e))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .label_font(("sans-serif", 12).into_font().color(&INK))
            .draw()
            .map_err(|e| failed(&e))?;
        root.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#1a1a1a;\
background:#fff}table{border-collapse:collapse;margin:.5em 0}td,th{padding:.15em .7em;border-bottom:1px solid \
#8884;text-align:right}td:first-child,th:first-child{text-align:left}.method{opacity:.7}svg{max-width:100%;\
height:auto}svg [fill=\"#010101\"]{fill:currentColor}svg [stroke=\"#010101\"]{stroke:currentColor}\
@media (prefers-color-scheme:dark){body{color:#ddd;background:#15171a}}";

/// What moved between two results, cell by cell, seed by seed where both have the same seeds.
pub fn compare(a: &Results, b: &Results) -> String {
    let mut out = String::new();
    let (mut moved, mut still, mut alone) = (0, 0, 0);
    for ca in &a.cells {
        let Some(cb) = b.cells.iter().find(|c| c.set == ca.set && c.policy == ca.policy) else {
            alone += 1;
            continue;
        };
        let same =
            ca.runs.len() == cb.runs.len() && ca.runs.iter().zip(&cb.runs).all(|(x, y)| x.seed == y.seed);
        for (i, (name, _)) in MEASURES.iter().enumerate() {
            let of = |c: &Cell| c.runs.iter().map(|r| r.figures[i]).collect::<Vec<f64>>();
            let d = if same {
                paired(&of(ca), &of(cb))
            } else {
                crate::stats::difference(&ca.estimates[i], &cb.estimates[i])
            };
            if d.is_told_apart() {
                moved += 1;
                let _ = writeln!(
                    out,
                    "{} | {} | {name}: {:.4} -> {:.4} ({:+.4} ± {:.4})",
                    words(&ca.set),
                    ca.policy.name(),
                    ca.estimates[i].mean,
                    cb.estimates[i].mean,
                    d.mean,
                    d.half
                );
            } else {
                still += 1;
            }
        }
    }
    let _ = writeln!(
        out,
        "{moved} figures moved beyond noise, {still} not told apart (95%; of {} that did not move about {} would seem to)",
        moved + still,
        (moved + still) / 20
    );
    if alone > 0 {
        let _ = writeln!(out, "{alone} cells of the first have no like in the second");
    }
    out
}
