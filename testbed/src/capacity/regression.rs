//! Slopes from rows of measured numbers: least squares on relative errors, on
//! those few products of sizes that explain a number best.

use std::collections::BTreeMap;

/// One run: its sizes and what was measured, by name.
pub type Row = BTreeMap<String, f64>;

/// How a number grows.
#[derive(Clone, Debug)]
pub struct FittedModel {
    pub key: String,
    /// A product of sizes, and what one of it costs.
    pub terms: Vec<(&'static str, f64)>,
    /// The root mean square of relative errors over the runs, and the worst.
    pub rms: f64,
    pub worst: f64,
    pub rows: usize,
}

const MOST_TERMS: usize = 5;
/// A term must take off this part of the error to be kept.
const MIN_GAIN: f64 = 0.12;
const GOOD_RMS: f64 = 0.004;

/// The products that a number may grow with.
fn products(r: &Row) -> Vec<(&'static str, f64)> {
    let v = |k: &str| r.get(k).copied().unwrap_or(0.0);
    let (n, c, w, t) = (v("nodes"), v("cores").max(1.0), v("workers"), v("routes"));
    let (x, k) = (v("changes"), v("claims"));
    // routes that no node tells of cost their setup only
    let reported = t * v("told") / 100.0;
    vec![
        ("1", 1.0),
        ("node", n),
        ("worker", w),
        ("route", t),
        ("core", c),
        ("claim/s", k),
        ("change/s", x),
        ("node/core", n / c),
        ("claim/s/core", k / c),
        ("claim/s x core", k * c),
        ("claim/s/node", k / n.max(1.0)),
        ("worker/core", w / c),
        ("route told", reported),
        ("node x core", n * c),
        ("node x worker", n * w),
        ("node/core x worker", n * w / c),
        ("node x route told", n * reported),
        ("node/core x route told", n * reported / c),
        ("node/core x node", n * n / c),
        ("node x change/s", n * x),
        ("node/core x change/s", n * x / c),
        ("route x change/s", t * x),
        ("node x route x change/s", n * t * x),
        ("node/core x route x change/s", n * t * x / c),
        ("worker x worker", w * w),
        ("route x worker", t * w),
        ("route x worker x worker", t * w * w),
        ("core x core", c * c),
    ]
}

/// Least squares by normal equations, columns scaled first; none if the
/// columns do not tell the terms apart.
pub fn solve(a: &[Vec<f64>], y: &[f64]) -> Option<Vec<f64>> {
    let n = a.first()?.len();
    let scale: Vec<f64> = (0..n)
        .map(|j| a.iter().map(|r| r[j] * r[j]).sum::<f64>().sqrt())
        .collect();
    if scale.iter().any(|s| *s <= 0.0) {
        return None;
    }
    let mut m = vec![vec![0.0; n + 1]; n];
    for (r, y) in a.iter().zip(y) {
        for i in 0..n {
            for j in 0..n {
                m[i][j] += r[i] / scale[i] * r[j] / scale[j];
            }
            m[i][n] += r[i] / scale[i] * y;
        }
    }
    for i in 0..n {
        let p = (i..n).max_by(|p, q| m[*p][i].abs().total_cmp(&m[*q][i].abs()))?;
        m.swap(i, p);
        if m[i][i].abs() < 1e-9 {
            return None;
        }
        for r in 0..n {
            if r != i {
                let f = m[r][i] / m[i][i];
                let row = m[i].clone();
                m[r].iter_mut().zip(row).for_each(|(x, y)| *x -= f * y);
            }
        }
    }
    Some((0..n).map(|i| m[i][n] / m[i][i] / scale[i]).collect())
}

struct Fit {
    slopes: Vec<f64>,
    rms: f64,
    worst: f64,
}

fn attempt(cols: &[usize], all: &[Vec<f64>], y: &[f64]) -> Option<Fit> {
    let top = y.iter().fold(0.0, |a: f64, b| a.max(b.abs()));
    // small sites must count as much as large ones, or their share of a
    // product would be lost in its noise
    let by: Vec<f64> = y.iter().map(|y| 1.0 / (y.abs() + top * 0.01)).collect();
    let a: Vec<Vec<f64>> = all
        .iter()
        .zip(&by)
        .map(|(r, b)| cols.iter().map(|c| r[*c] * b).collect())
        .collect();
    let ys: Vec<f64> = y.iter().zip(&by).map(|(y, b)| y * b).collect();
    let slopes = solve(&a, &ys)?;
    // nothing gets cheaper as it grows; a negative slope fits noise
    if slopes.iter().any(|s| *s < 0.0) {
        return None;
    }
    let off = |(r, y): (&Vec<f64>, &f64)| -> f64 {
        let is: f64 = r.iter().zip(&slopes).map(|(x, s)| x * s).sum();
        (is - y).abs()
    };
    let offs: Vec<f64> = a.iter().zip(&ys).map(off).collect();
    let rms = (offs.iter().map(|o| o * o).sum::<f64>() / offs.len() as f64).sqrt();
    let worst = offs.iter().copied().fold(0.0, f64::max);
    Some(Fit { slopes, rms, worst })
}

/// A term whose removal costs next to no accuracy.
fn removable_term(
    cols: &[usize],
    all: &[Vec<f64>],
    y: &[f64],
    now: Option<&Fit>,
) -> Option<(usize, Fit)> {
    let most = now?.rms * (1.0 + MIN_GAIN / 4.0) + GOOD_RMS / 4.0;
    (0..cols.len().saturating_sub(1))
        .filter_map(|i| {
            let mut without = cols.to_vec();
            without.remove(i);
            attempt(&without, all, y).map(|t| (i, t))
        })
        .filter(|(_, t)| t.rms <= most)
        .min_by(|a, b| a.1.rms.total_cmp(&b.1.rms))
}

/// Term by term, the one that takes off most of the error, while one helps.
pub fn fit(key: &str, rows: &[Row]) -> Option<FittedModel> {
    let rows: Vec<&Row> = rows.iter().filter(|r| r.contains_key(key)).collect();
    let y: Vec<f64> = rows.iter().map(|r| r[key]).collect();
    let all: Vec<Vec<f64>> = rows
        .iter()
        .map(|r| products(r).into_iter().map(|p| p.1).collect())
        .collect();
    let names: Vec<&'static str> = products(rows.first()?).into_iter().map(|p| p.0).collect();
    let mut cols: Vec<usize> = Vec::new();
    let mut best: Option<Fit> = None;
    let most = MOST_TERMS.min(rows.len().saturating_sub(1));
    // a term may be removed and added again, but not without end
    for _ in 0..3 * MOST_TERMS {
        if cols.len() >= most {
            break;
        }
        let was = best.as_ref().map_or(f64::MAX, |b| b.rms);
        if was < GOOD_RMS {
            break;
        }
        let next = (0..names.len())
            .filter(|c| !cols.contains(c))
            .filter_map(|c| {
                let with: Vec<usize> = cols.iter().copied().chain([c]).collect();
                attempt(&with, &all, &y).map(|t| (c, t))
            })
            .min_by(|a, b| a.1.rms.total_cmp(&b.1.rms));
        match next.filter(|(_, t)| t.rms < was * (1.0 - MIN_GAIN)) {
            None => break,
            Some((c, t)) => {
                cols.push(c);
                best = Some(t);
            }
        }
        // what stood in for a product before it came in explains nothing now
        while let Some((i, t)) = removable_term(&cols, &all, &y, best.as_ref()) {
            cols.remove(i);
            best = Some(t);
        }
    }
    let t = best?;
    Some(FittedModel {
        key: key.to_string(),
        terms: cols.iter().map(|c| names[*c]).zip(t.slopes).collect(),
        rms: t.rms,
        worst: t.worst,
        rows: rows.len(),
    })
}

impl FittedModel {
    /// What the number comes to at other sizes.
    pub fn at(&self, size: &Row) -> f64 {
        let all = products(size);
        let x = |n: &str| all.iter().find(|p| p.0 == n).map_or(0.0, |p| p.1);
        self.terms.iter().map(|(n, s)| x(n) * s).sum()
    }
}

/// Rows from lines of JSON, as the runs print them.
pub fn read_rows(text: &str) -> Result<Vec<Row>, String> {
    text.lines()
        .filter(|l| !l.trim().is_empty())
        .map(|l| {
            let mut b = l.as_bytes().to_vec();
            simd_json::serde::from_slice(&mut b).map_err(|e| format!("{e}: {l}"))
        })
        .collect()
}
