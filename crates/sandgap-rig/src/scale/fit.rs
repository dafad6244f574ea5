//! Figures as an intercept and a slope over the size of the fleet, fitted by least squares, so that a larger size can be
//! foretold and held against its measurement.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its value at 0.
    pub intercept: f64,
    /// What each further one adds.
    pub slope: f64,
}

impl Line {
    /// The line through points with the least sum of squared distances; one point gives a level line.
    pub fn fit(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        Line { intercept: mean_y - slope * mean_x, slope }
    }

    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The largest distance of a point from it, as a part of the point.
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
    fn a_line_is_found_and_foretells() {
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
