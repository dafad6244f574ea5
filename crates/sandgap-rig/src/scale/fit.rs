//! Least-squares lines of a figure over the size of the fleet, so that the figure at a larger size can be predicted and
//! compared with its measurement.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The increase per unit of size.
    pub slope: f64,
}

impl Line {
    /// The least-squares line through the points; a single point gives a horizontal line.
    pub fn fit(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if squares_x > 0.0 { products / squares_x } else { 0.0 };
        Line { intercept: mean_y - slope * mean_x, slope }
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The largest error of the line at any of the points, as a fraction of the point's value.
    pub fn worst_error(&self, points: &[(f64, f64)]) -> f64 {
        points
            .iter()
            .map(|(x, y)| ((self.at(*x) - y) / y.abs().max(f64::MIN_POSITIVE)).abs())
            .fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_fitted_and_extrapolates() {
        let points = [(100.0, 35.0), (300.0, 75.0), (1000.0, 215.0)];
        let line = Line::fit(&points);
        assert!((line.intercept - 15.0).abs() < 1e-9 && (line.slope - 0.2).abs() < 1e-12);
        assert!((line.at(3400.0) - 695.0).abs() < 1e-9);
        assert!(line.worst_error(&points) < 1e-12);
        let bent = [(100.0, 100.0), (300.0, 100.0), (1000.0, 400.0)];
        assert!(Line::fit(&bent).worst_error(&bent) > 0.2);
        assert_eq!(Line::fit(&[(7.0, 3.0)]), Line { intercept: 3.0, slope: 0.0 });
    }
}
