//! Plots metrics of runs against the number of gateways as SVG, one line per metric, with
//! logarithmic axes.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::RunReport;

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 400.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b9770e", "#555555",
];

/// Name of a metric and its value in a run.
type Metric = (&'static str, fn(&RunReport) -> f64);

const METRICS: [Metric; 6] = [
    ("pings", |r| r.pings as f64),
    ("orders", |r| r.orders as f64),
    ("fetches", |r| r.fetches as f64),
    ("lost attempts", |r| r.lost_attempts as f64),
    ("bytes/s, a voter", |r| r.voter_bytes_per_s),
    ("bytes/s, a member", |r| r.member_bytes_per_s),
];

fn log(x: f64) -> f64 {
    x.max(1.0).log10()
}

/// Returns an SVG plot of each metric's mean over the runs with the same number of gateways.
pub fn by_size(runs: &[RunReport]) -> String {
    let mut sizes: BTreeMap<usize, Vec<&RunReport>> = BTreeMap::new();
    runs.iter()
        .for_each(|r| sizes.entry(r.instances).or_default().push(r));
    let mean = |of: fn(&RunReport) -> f64, runs: &[&RunReport]| {
        runs.iter().map(|r| of(r)).sum::<f64>() / runs.len() as f64
    };
    let least = sizes.keys().next().map_or(0.0, |s| log(*s as f64));
    let most = sizes
        .keys()
        .next_back()
        .map_or(1.0, |s| log(*s as f64))
        .max(least + 0.1);
    let top = METRICS
        .iter()
        .flat_map(|(_, of)| sizes.values().map(|r| log(mean(*of, r))))
        .fold(1.0, f64::max)
        .ceil();
    let x =
        |size: usize| MARGIN + (log(size as f64) - least) / (most - least) * (WIDTH - 3.2 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - log(value) / top * (HEIGHT - 1.5 * MARGIN);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" font-family=\"sans-serif\" \
         font-size=\"11\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/>"
    );
    // Writes to a string cannot fail.
    for power in 0..=top as i32 {
        let at = y(10f64.powi(power));
        let right = WIDTH - 2.2 * MARGIN;
        let _ = write!(
            out,
            "<line x1=\"{MARGIN}\" x2=\"{right}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">1e{power}</text>",
            MARGIN - 6.0,
            at + 4.0
        );
    }
    for size in sizes.keys() {
        let (at, low) = (x(*size), HEIGHT - MARGIN + 16.0);
        let _ = write!(
            out,
            "<text x=\"{at:.1}\" y=\"{low}\" text-anchor=\"middle\">{size}</text>"
        );
    }
    let _ = write!(
        out,
        "<text x=\"{}\" y=\"{}\">gateways</text>",
        WIDTH / 2.0 - MARGIN,
        HEIGHT - 14.0
    );
    for ((name, of), colour) in METRICS.iter().zip(COLOURS) {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|(s, r)| (x(*s), y(mean(*of, r))))
            .collect();
        let line: Vec<String> = points
            .iter()
            .map(|(x, y)| format!("{x:.1},{y:.1}"))
            .collect();
        let _ = write!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>",
            line.join(" ")
        );
        if let Some((x, y)) = points.last() {
            let _ = write!(
                out,
                "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{name}</text>",
                x + 6.0,
                y + 4.0
            );
        }
    }
    out.push_str("</svg>\n");
    out
}
