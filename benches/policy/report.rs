//! Formats the results as a table and a plot.

use std::fmt::Write;

use super::world::{Fault, Figures, percentile};

/// The median figures of one cell, and the lowest and highest goodput over its seeds.
pub struct Row {
    pub user: &'static str,
    pub load: u32,
    pub fault: Fault,
    pub variant: String,
    pub best: f64,
    pub median: Figures,
    pub spread: (f64, f64),
}

/// Returns the median of each figure over all runs, and the lowest and highest goodput.
pub fn median(runs: &[Figures]) -> (Figures, (f64, f64)) {
    let of = |field: fn(&Figures) -> f64| {
        let mut all: Vec<f64> = runs.iter().map(field).collect();
        percentile(&mut all, 0.5)
    };
    let figures = Figures {
        goodput: of(|f| f.goodput),
        rate: of(|f| f.rate),
        wasted: of(|f| f.wasted),
        unused: of(|f| f.unused),
        refused: of(|f| f.refused),
        ttft: of(|f| f.ttft),
        token: of(|f| f.token),
        service: of(|f| f.service),
        cached: of(|f| f.cached),
        late: of(|f| f.late),
    };
    let all = runs.iter().map(|f| f.goodput);
    (figures, (all.clone().fold(f64::MAX, f64::min), all.fold(0.0, f64::max)))
}

/// Returns all rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| user | load % | fault | variant | goodput % (min..max) | good/s | best % | of best % \
         | wasted/100 | unused/100 | refused % | late % | TTFT p95 ms | token p95 ms | cached % | services % |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let m = &row.median;
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {:.1} ({:.1}..{:.1}) | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} | {:.1} \
             | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} |",
            row.user,
            row.load,
            row.fault.as_str(),
            row.variant,
            m.goodput,
            row.spread.0,
            row.spread.1,
            m.rate,
            row.best,
            100.0 * m.goodput / row.best,
            m.wasted,
            m.unused,
            m.refused,
            m.late,
            m.ttft,
            m.token,
            m.cached,
            m.service,
        );
    }
    text
}

const BAR_HEIGHT: usize = 14;
const BAR_WIDTH: usize = 300;
const LABEL_WIDTH: usize = 330;

/// Returns an SVG with one line per row: goodput as the left bar, wasted prefill as the right one.
pub fn svg(rows: &[Row]) -> String {
    let height = 40 + rows.len() * BAR_HEIGHT;
    let width = LABEL_WIDTH + 2 * BAR_WIDTH + 120;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"10\">\n\
         <text x=\"{LABEL_WIDTH}\" y=\"14\">goodput % (mark: best)</text>\n\
         <text x=\"{}\" y=\"14\">wasted prefill per 100</text>\n",
        LABEL_WIDTH + BAR_WIDTH + 60
    );
    for (index, row) in rows.iter().enumerate() {
        let y = 24 + index * BAR_HEIGHT;
        let scale = |share: f64| share.min(100.0) / 100.0 * BAR_WIDTH as f64;
        let name = format!("{} {}% {} {}", row.user, row.load, row.fault.as_str(), row.variant);
        let right = LABEL_WIDTH + BAR_WIDTH + 60;
        let _ = writeln!(
            text,
            "<text x=\"4\" y=\"{}\">{name}</text>\
             <rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{:.1}\" height=\"10\" fill=\"#4477aa\"/>\
             <rect x=\"{:.1}\" y=\"{y}\" width=\"1\" height=\"10\" fill=\"black\"/>\
             <rect x=\"{right}\" y=\"{y}\" width=\"{:.1}\" height=\"10\" fill=\"#cc6677\"/>",
            y + 9,
            scale(row.median.goodput),
            LABEL_WIDTH as f64 + scale(row.best),
            scale(row.median.wasted),
        );
    }
    text.push_str("</svg>\n");
    text
}
