//! Checks that every source file of this crate is at most 300 lines long and 100 columns wide.

use std::fs;
use std::path::Path;

const MAX_LINES: usize = 300;
const MAX_COLUMNS: usize = 100;

/// Checks all files of a folder and its subfolders. Returns the number of files.
fn check_files(folder: &Path) -> usize {
    let mut checked = 0;
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            checked += check_files(&path);
            continue;
        }
        let text = fs::read_to_string(&path).expect("the file is readable");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{}: {lines} lines, at most {MAX_LINES} are allowed",
            path.display()
        );
        let longest = text.lines().map(|line| line.chars().count()).max();
        let columns = longest.unwrap_or(0);
        assert!(
            columns <= MAX_COLUMNS,
            "{}: {columns} columns, at most {MAX_COLUMNS} are allowed",
            path.display()
        );
        checked += 1;
    }
    checked
}

#[test]
fn source_files_do_not_exceed_the_maximum_lines_and_columns() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    assert!(check_files(&source) > 0);
}
