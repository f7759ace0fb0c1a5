//! Figures against the size of the fleet, as SVG: one line a figure, both axes logarithmic.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::Ran;

const WIDE: f64 = 640.0;
const HIGH: f64 = 400.0;
const EDGE: f64 = 60.0;
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b9770e", "#555555",
];

/// A figure of a run, by its name.
type Figure = (&'static str, fn(&Ran) -> f64);

const FIGURES: [Figure; 6] = [
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

/// The means of all runs of a size, a line a figure.
pub fn by_size(runs: &[Ran]) -> String {
    let mut sizes: BTreeMap<usize, Vec<&Ran>> = BTreeMap::new();
    runs.iter()
        .for_each(|r| sizes.entry(r.instances).or_default().push(r));
    let mean = |of: fn(&Ran) -> f64, runs: &[&Ran]| {
        runs.iter().map(|r| of(r)).sum::<f64>() / runs.len() as f64
    };
    let least = sizes.keys().next().map_or(0.0, |s| log(*s as f64));
    let most = sizes
        .keys()
        .next_back()
        .map_or(1.0, |s| log(*s as f64))
        .max(least + 0.1);
    let top = FIGURES
        .iter()
        .flat_map(|(_, of)| sizes.values().map(|r| log(mean(*of, r))))
        .fold(1.0, f64::max)
        .ceil();
    let x = |size: usize| EDGE + (log(size as f64) - least) / (most - least) * (WIDE - 3.2 * EDGE);
    let y = |value: f64| HIGH - EDGE - log(value) / top * (HIGH - 1.5 * EDGE);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDE} {HIGH}\" font-family=\"sans-serif\" \
         font-size=\"11\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/>"
    );
    // Writing to a string cannot fail.
    for power in 0..=top as i32 {
        let at = y(10f64.powi(power));
        let right = WIDE - 2.2 * EDGE;
        let _ = write!(
            out,
            "<line x1=\"{EDGE}\" x2=\"{right}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">1e{power}</text>",
            EDGE - 6.0,
            at + 4.0
        );
    }
    for size in sizes.keys() {
        let (at, low) = (x(*size), HIGH - EDGE + 16.0);
        let _ = write!(
            out,
            "<text x=\"{at:.1}\" y=\"{low}\" text-anchor=\"middle\">{size}</text>"
        );
    }
    let _ = write!(
        out,
        "<text x=\"{}\" y=\"{}\">gateways</text>",
        WIDE / 2.0 - EDGE,
        HIGH - 14.0
    );
    for ((name, of), colour) in FIGURES.iter().zip(COLOURS) {
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
