//! Errors of a measurement.

use geranium_settings::SettingsError;
use quick_error::quick_error;

quick_error! {
    /// Error of a measurement.
    #[derive(Debug)]
    pub enum MeasureError {
        /// The settings are invalid.
        Settings(err: SettingsError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The async runtime cannot be started.
        Runtime(err: std::io::Error) {
            display("failed to start the async runtime: {}", err)
            source(err)
        }
        /// The statistics of a process cannot be read from `/proc`.
        Process(pid: u32, detail: String) {
            display("failed to read the statistics of process {}: {}", pid, detail)
        }
        /// No experiment has this name.
        UnknownExperiment(name: String) {
            display("unknown experiment {:?}", name)
        }
        /// A call made by an experiment failed.
        Call(detail: String) {
            display("call failed: {}", detail)
        }
    }
}
