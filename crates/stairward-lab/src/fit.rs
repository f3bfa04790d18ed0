//! A straight line through measured points.

/// A line: what is there without any unit, and what each unit adds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub fixed: f64,
    /// Added by each unit.
    pub per_unit: f64,
}

/// The line through points by least squares; none with fewer than two different abscissas.
#[must_use]
pub fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let per_unit = covariance / spread;
    Some(Line {
        fixed: mean_y - per_unit * mean_x,
        per_unit,
    })
}
