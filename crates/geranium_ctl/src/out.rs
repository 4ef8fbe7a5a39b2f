//! Printing to standard output.

/// Prints a line to standard output. Write errors are ignored, because a reader such as
/// `head` may have closed the pipe.
macro_rules! out {
    ($($arg:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($arg)*);
    }};
}
