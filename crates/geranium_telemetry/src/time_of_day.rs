//! Human-readable formatting of timestamps.

use geranium_core::time::Timestamp;

/// Formats the time of day in UTC with millisecond precision.
///
/// # Examples
///
/// ```
/// use geranium_core::time::Timestamp;
/// use geranium_telemetry::time_of_day;
///
/// assert_eq!(time_of_day(Timestamp(3_661_002_000)), "01:01:01.002");
/// ```
#[must_use]
pub fn time_of_day(time: Timestamp) -> String {
    let millis = time.as_millis();
    let seconds = millis / 1_000 % 86_400;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60,
        millis % 1_000
    )
}
