//! Lines fitted to points, and their residuals.

use assert_matches::assert_matches;
use usher_capacity::Line;

/// Guards against a line fitted to points of a single size.
#[test]
fn one_size_has_no_line() {
    assert_matches!(Line::fit(&[]), None);
    assert_matches!(Line::fit(&[(5.0, 1.0), (5.0, 2.0)]), None);
}

/// Guards against a residual too small to show that growth is not linear.
#[test]
fn a_curve_leaves_a_residual() {
    let squares: Vec<_> = (0..5)
        .map(|size| (f64::from(size), f64::from(size * size)))
        .collect();
    let line = Line::fit(&squares).expect("points of several sizes have a line");
    assert!(line.residual > 0.08, "{line:?}");
}
