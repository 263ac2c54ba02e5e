//! Conversion and least-squares slope of measured numbers.

/// `number` as a float; exact up to `u32::MAX`, to which larger numbers are clamped.
#[must_use]
pub fn as_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Slope of the least-squares line through `points`.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = as_f64(points.len() as u64);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
