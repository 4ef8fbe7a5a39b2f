//! Failures of a measurement.

use geranium_settings::SettingsError;
use quick_error::quick_error;

quick_error! {
    /// Failure of a measurement.
    #[derive(Debug)]
    pub enum MeasureError {
        /// The settings are not valid.
        Settings(err: SettingsError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The runtime cannot start.
        Runtime(err: std::io::Error) {
            display("cannot start the runtime: {}", err)
            source(err)
        }
        /// The system does not tell about a process.
        Process(pid: u32, detail: String) {
            display("cannot read the figures of process {}: {}", pid, detail)
        }
        /// An experiment does not exist.
        UnknownExperiment(name: String) {
            display("experiment {:?} does not exist", name)
        }
        /// A call of the experiment failed.
        Call(detail: String) {
            display("a call failed: {}", detail)
        }
    }
}
