//! Lines through points: the slope of a figure by a size, with its error, and whether it bends.

use crate::report::Sample;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Fewest sizes that a line is drawn through.
pub const FEWEST_SIZES: usize = 4;

/// Where the square's share of the figure at the largest size is over this, and it is no accident, the figure bends.
const BEND_SHARE: f64 = 0.1;
/// As many standard errors as its coefficient has to be away from nothing.
const BEND_ERRORS: f64 = 3.0;

/// A line through points by least squares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The sweep, the subject and the dimension that the points are from.
    pub sweep: String,
    /// See [`Sample::subject`].
    pub subject: String,
    /// See [`Sample::dimension`].
    pub dimension: String,
    /// The figure.
    pub figure: String,
    /// The figure at a size of 0.
    pub intercept: f64,
    /// By how much it grows with a size of one more.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Share of the points' variance that the line explains.
    pub r_squared: f64,
    /// Points.
    pub points: usize,
    /// The smallest and the largest size.
    pub from: f64,
    /// The largest size.
    pub to: f64,
    /// Coefficient of the size's square when it is fitted along.
    pub square: f64,
    /// Whether the square matters: the figure grows faster or slower than a line.
    pub bends: bool,
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} = {:.4} + {:.6} (+-{:.6}) x {}, {} points from {} to {}, r2 {:.4}{}",
            self.sweep,
            self.subject,
            self.figure,
            self.intercept,
            self.slope,
            self.slope_error,
            self.dimension,
            self.points,
            self.from,
            self.to,
            self.r_squared,
            if self.bends { format!(", BENDS: square {:.3e}", self.square) } else { String::new() }
        )
    }
}

/// A line through points of (size, figure): `None` below four sizes, or where no line can be drawn.
pub fn line(points: &[(f64, f64)]) -> Option<Fit> {
    let sizes: BTreeSet<u64> = points.iter().map(|(x, _)| x.to_bits()).collect();
    if sizes.len() < FEWEST_SIZES || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let most = points.iter().map(|(x, _)| x.abs()).fold(0.0, f64::max);
    if most == 0.0 {
        return None;
    }
    // Sizes from 0 to 1: the square's column is then of the order of the others.
    let x: Vec<f64> = points.iter().map(|(x, _)| x / most).collect();
    let y: Vec<f64> = points.iter().map(|(_, y)| *y).collect();
    let square: Vec<f64> = x.iter().map(|x| x * x).collect();
    let data = RegressionDataBuilder::new().build_from([("y", y), ("x", x), ("x2", square)]).ok()?;
    let straight = FormulaRegressionBuilder::new().data(&data).formula("y ~ x").fit().ok()?;
    let bent = FormulaRegressionBuilder::new().data(&data).formula("y ~ x + x2").fit().ok()?;
    let [intercept, slope] = straight.parameters()[..] else { return None };
    let [_, error] = straight.se()[..] else { return None };
    let [a, b, c] = bent.parameters()[..] else { return None };
    let [_, _, c_error] = bent.se()[..] else { return None };
    let at_most = (a + b + c).abs().max(f64::MIN_POSITIVE);
    let error_of_c = if c_error.is_finite() { c_error } else { 0.0 };
    let from = points.iter().map(|(x, _)| *x).fold(f64::INFINITY, f64::min);
    Some(Fit {
        sweep: String::new(),
        subject: String::new(),
        dimension: String::new(),
        figure: String::new(),
        intercept,
        slope: slope / most,
        slope_error: if error.is_finite() { error / most } else { 0.0 },
        r_squared: straight.rsquared(),
        points: points.len(),
        from,
        to: points.iter().map(|(x, _)| *x).fold(f64::NEG_INFINITY, f64::max),
        square: c / (most * most),
        bends: c.abs() > BEND_SHARE * at_most && c.abs() > BEND_ERRORS * error_of_c,
    })
}

/// Lines through the named figure of each sweep's subjects, in the order in which they came. Samples that differ in their
/// mix stand beside each other as points of one line: a sweep that varies two things gives its lines itself.
pub fn lines(samples: &[Sample], sweep: &str, figure: &str) -> Vec<Fit> {
    let mut subjects: Vec<(&str, &str)> = Vec::new();
    for s in samples.iter().filter(|s| s.sweep == sweep) {
        let of = (s.subject.as_str(), s.dimension.as_str());
        if !subjects.contains(&of) {
            subjects.push(of);
        }
    }
    let fit = |(subject, dimension): (&str, &str)| {
        let points: Vec<(f64, f64)> = samples
            .iter()
            .filter(|s| s.sweep == sweep && s.subject == subject && s.dimension == dimension)
            .filter_map(|s| Some((s.size, s.get(figure)?)))
            .collect();
        let fit = line(&points)?;
        Some(Fit {
            sweep: sweep.to_owned(),
            subject: subject.to_owned(),
            dimension: dimension.to_owned(),
            figure: figure.to_owned(),
            ..fit
        })
    };
    subjects.into_iter().filter_map(fit).collect()
}
