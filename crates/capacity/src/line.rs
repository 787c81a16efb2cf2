use serde::Serialize;

/// A line fitted to measured points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Root mean square error, as a share of the largest absolute value.
    pub residual: f64,
}

impl Line {
    /// Fits a line; returns `None` unless the points have at least two different sizes.
    ///
    /// ```
    /// let line = usher_capacity::Line::fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
    /// assert_eq!((line.intercept, line.slope), (1.0, 2.0));
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        // Both sums lack the division by the count, which cancels out in the slope.
        let mut variance = 0.0;
        let mut covariance = 0.0;
        for (size, value) in points {
            variance += (size - mean_size).powi(2);
            covariance += (size - mean_size) * (value - mean_value);
        }
        if points.is_empty() || variance == 0.0 {
            return None;
        }
        let slope = covariance / variance;
        let intercept = mean_value - slope * mean_size;
        let squared_errors = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).powi(2));
        let rms_error = (squared_errors.sum::<f64>() / count).sqrt();
        let largest = points
            .iter()
            .fold(0.0_f64, |highest, point| highest.max(point.1.abs()));
        let residual = if largest > 0.0 {
            rms_error / largest
        } else {
            0.0
        };
        Some(Self {
            intercept,
            slope,
            residual,
        })
    }
}
