//! Command-line tool for operators.

use std::process::exit;

use rhubarbthread::process::operator;

fn main() {
    exit(operator::main());
}
