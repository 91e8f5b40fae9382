//! The lines that pages of capacity rest on: that they are what was measured, and that what is no line shows.

use claywinch_lab::slopes::{fits, keep, least_squares, read, show, Fit, Row};

/// Three runs of `3 + 0.5 x count`, each a little beside the other.
fn measured() -> Vec<(u64, u64, f64)> {
    let runs = [(1, -0.01), (2, 0.0), (3, 0.01)];
    let counts = [100, 400, 850, 1_700];
    counts
        .iter()
        .flat_map(|c| runs.map(|(run, by)| (*c, run, (3.0 + 0.5 * *c as f64) * (1.0 + by))))
        .collect()
}

#[test]
fn a_line_is_found_again_with_its_spread_and_its_range() {
    let fit = Fit::of(&measured()).expect("several counts");
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 0.5).abs() < 1e-12, "{fit:?}");
    assert!((fit.at(4_000.0) - 2_003.0).abs() < 1e-6);
    assert!((fit.slopes.0 - 0.495).abs() < 1e-9 && (fit.slopes.1 - 0.505).abs() < 1e-9, "{fit:?}");
    assert!((fit.spread - 0.02).abs() < 1e-9 && fit.off < 1e-9, "{fit:?}");
    assert_eq!((fit.runs, fit.range), (3, (100, 1_700)));
}

/// Guards against a figure that was misread, or a cost that grows faster than its count, and passes for a line.
#[test]
fn a_wrong_point_and_a_curve_show_as_what_is_off_the_line() {
    let mut points = measured();
    points[4].2 *= 3.0;
    let fit = Fit::of(&points).expect("several counts");
    assert!(fit.spread > 0.9 && fit.off > 0.08, "one run is three times the others: {fit:?}");
    let square: Vec<_> = measured().iter().map(|(c, run, _)| (*c, *run, (*c * *c) as f64)).collect();
    let fit = Fit::of(&square).expect("several counts");
    assert!(fit.spread < 1e-9 && fit.off > 0.1, "{fit:?}");
}

#[test]
fn no_line_goes_through_one_count() {
    assert_eq!(least_squares(&[(5.0, 1.0), (5.0, 2.0)]), None);
    assert_eq!(least_squares(&[]), None);
    assert_eq!(Fit::of(&[(5, 1, 1.0), (5, 2, 2.0)]), None);
}

/// Guards against runs that are kept twice, and against a file of something else that is read as figures.
#[test]
fn rows_are_kept_once_and_what_is_no_row_is_refused() {
    let folder = std::env::temp_dir().join(format!("claywinch-slopes-test-{}", std::process::id()));
    let file = folder.join("part.csv");
    assert!(read(&file).expect("none yet").is_empty());
    let row = |count, run, value| Row::new(("part", count, run), "memory", "KiB", value);
    keep(&file, &[row(10, 1, 1.0), row(20, 1, 2.0)]).expect("kept");
    keep(&file, &[row(10, 1, 1.5), row(10, 2, 1.25)]).expect("kept");
    let rows = read(&file).expect("read");
    assert_eq!(rows, [row(10, 1, 1.5), row(10, 2, 1.25), row(20, 1, 2.0)]);
    assert_eq!(fits(&rows).len(), 1);
    assert!(show(&rows).contains("counts 10 to 20"));
    let good = std::fs::read_to_string(&file).expect("text");
    for bad in
        ["part,10,1,memory,KiB", "part,10,1,memory,KiB,NaN", "part,-1,1,memory,KiB,1", "part,1,1,m,KiB,1,2"]
    {
        std::fs::write(&file, format!("{good}{bad}\n")).expect("written");
        let refused = read(&file).expect_err(bad).to_string();
        assert!(refused.contains("line 5"), "{refused}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}
