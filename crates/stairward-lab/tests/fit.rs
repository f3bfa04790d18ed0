//! The line through measured points.

use stairward_lab::fit::least_squares;

#[test]
fn a_line_is_found_again() {
    let points: Vec<(f64, f64)> = [0.0, 10.0, 20.0, 40.0]
        .into_iter()
        .map(|x| (x, 7.0 + 2.5 * x))
        .collect();
    let line = least_squares(&points).expect("a line");
    assert!((line.fixed - 7.0).abs() < 1e-9);
    assert!((line.per_unit - 2.5).abs() < 1e-9);
}

#[test]
fn points_above_one_another_have_no_line() {
    assert_eq!(least_squares(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(least_squares(&[(1.0, 2.0)]), None);
}
