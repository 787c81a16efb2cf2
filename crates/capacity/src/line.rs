use serde::Serialize;

/// A line through measured points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Root mean square distance from the line, as a share of the largest value.
    pub residual: f64,
}

impl Line {
    /// Fits a line; `None` unless there are two different sizes.
    ///
    /// ```
    /// let line = usher_capacity::Line::fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
    /// assert_eq!((line.intercept, line.slope), (1.0, 2.0));
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut spread = 0.0;
        let mut common = 0.0;
        for (size, value) in points {
            spread += (size - mean_size).powi(2);
            common += (size - mean_size) * (value - mean_value);
        }
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let slope = common / spread;
        let intercept = mean_value - slope * mean_size;
        let squares = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).powi(2));
        let distance = (squares.sum::<f64>() / count).sqrt();
        let largest = points
            .iter()
            .fold(0.0_f64, |most, point| most.max(point.1.abs()));
        let residual = if largest > 0.0 {
            distance / largest
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
