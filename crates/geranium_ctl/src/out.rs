//! Lines on standard output.

/// Prints a line; a reader that closed its end, such as `head`, wants no more.
macro_rules! out {
    ($($arg:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($arg)*);
    }};
}
