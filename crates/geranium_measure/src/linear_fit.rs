//! Linear regression of measured points.

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearFit {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line.
    pub max_residual: f64,
}

impl LinearFit {
    /// Fits a line by least squares; the slope is 0 if all points have the same x.
    #[must_use]
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let residuals = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
        Self {
            slope,
            intercept,
            max_residual: residuals.fold(0.0, f64::max),
        }
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
