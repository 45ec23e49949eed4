//! The report of a load test: a Markdown summary, plots, and the samples as JSON.

use std::fs;
use std::path::Path;

use endivedyke::{Code, Error, Result};
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use crate::load::{LoadReport, ProcessSample, TargetSample};

const PLOT_SIZE_PX: (u32, u32) = (900, 360);

/// The summary of a load test.
#[derive(Debug, Default)]
pub(crate) struct LoadSummary {
    pub(crate) requests_per_s: f64,
    /// Pairs of a percentile and its latency.
    pub(crate) latency_ms: Vec<(f64, f64)>,
    pub(crate) flow_imbalance: f64,
    pub(crate) busy_imbalance: f64,
}

/// Computes the summary of a report.
pub(crate) fn summarize(report: &LoadReport) -> Result<LoadSummary> {
    let mut histogram = Histogram::<u64>::new(3).map_err(io_error)?;
    for latency_us in &report.stats.latencies_us {
        histogram.record(*latency_us).map_err(io_error)?;
    }
    let percentiles = [50.0, 90.0, 99.0, 99.9];
    let latency = |percent| {
        (
            percent,
            histogram.value_at_percentile(percent) as f64 / 1_000.0,
        )
    };
    Ok(LoadSummary {
        requests_per_s: report.stats.answered as f64 / report.seconds.max(1) as f64,
        latency_ms: percentiles.map(latency).to_vec(),
        flow_imbalance: mean_flow_imbalance(report),
        busy_imbalance: busy_imbalance(report),
    })
}

fn io_error(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Io, error.to_string())
}

/// Returns the imbalance of the values: their maximum divided by their mean, minus 1.
fn imbalance(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let greatest = values.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 {
        greatest / mean - 1.0
    } else {
        0.0
    }
}

fn target_count(report: &LoadReport) -> usize {
    let numbers = report.targets.iter().map(|sample| sample.target + 1);
    numbers.max().unwrap_or(0)
}

/// Returns the samples of all targets in one second.
fn targets_at(report: &LoadReport, second: u64) -> Vec<&TargetSample> {
    report
        .targets
        .iter()
        .filter(|sample| sample.second == second)
        .collect()
}

/// Returns the mean imbalance of open flows over the second half of the run.
fn mean_flow_imbalance(report: &LoadReport) -> f64 {
    let seconds = report.seconds / 2..report.seconds.saturating_sub(1);
    let count = seconds.clone().count().max(1) as f64;
    let imbalance_at = |second| {
        let flows = targets_at(report, second);
        imbalance(
            &flows
                .iter()
                .map(|sample| sample.open_flows as f64)
                .collect::<Vec<_>>(),
        )
    };
    seconds.map(imbalance_at).sum::<f64>() / count
}

/// Returns the imbalance of busy time over the ten seconds before the last one.
fn busy_imbalance(report: &LoadReport) -> f64 {
    let last = report.seconds.saturating_sub(1);
    let first = last.saturating_sub(10);
    let mut busy = vec![0.0; target_count(report)];
    for sample in report
        .targets
        .iter()
        .filter(|s| (first..last).contains(&s.second))
    {
        busy[sample.target] += sample.busy_ms as f64;
    }
    imbalance(&busy)
}

/// Writes `report.md`, `rows.json` and the plots into `folder`, and returns the text of `report.md`.
pub(crate) fn write(report: &LoadReport, folder: &Path) -> Result<String> {
    fs::create_dir_all(folder)?;
    let rows = serde_json::to_string(report).map_err(io_error)?;
    fs::write(folder.join("rows.json"), rows)?;
    plot_flows(report, &folder.join("flows.svg"))?;
    plot_processes(report, &folder.join("cpu.svg"))?;
    let text = markdown(report)?;
    fs::write(folder.join("report.md"), &text)?;
    Ok(text)
}

fn markdown(report: &LoadReport) -> Result<String> {
    let summary = summarize(report)?;
    let stats = &report.stats;
    let mut text = format!(
        "# Load report\n\n{} s, {:.0} requests/s answered\n\n\
         | requests | answered | refused tries | unknown | wrong | doubled | lost | flows | flows \
         broken | feeds broken |\n|---|---|---|---|---|---|---|---|---|---|\n\
         | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n\n",
        report.seconds,
        summary.requests_per_s,
        stats.requests,
        stats.answered,
        stats.refused,
        stats.unknown,
        stats.wrong,
        stats.doubled,
        stats.lost,
        stats.flows,
        stats.flows_broken,
        stats.feeds_broken,
    );
    for (percent, ms) in &summary.latency_ms {
        text += &format!("latency p{percent}: {ms:.2} ms\n");
    }
    text += &format!(
        "\nimbalance of open flows, mean of the second half: {:.2} %\n\
         imbalance of busy slots, last 10 s: {:.2} %\n\
         calls to the configuration service: {}\n\n",
        summary.flow_imbalance * 100.0,
        summary.busy_imbalance * 100.0,
        report.platform_calls,
    );
    text +=
        "| process | cpu, mean ms/s | memory, last MB | control, mean B/s | control calls/s |\n";
    text += "|---|---|---|---|---|\n";
    for name in process_names(report) {
        text += &process_row(report, name);
    }
    text += "\n![open flows by target](flows.svg)\n![processor time](cpu.svg)\n";
    Ok(text)
}

fn process_names(report: &LoadReport) -> Vec<&str> {
    let first = report.processes.iter().filter(|sample| sample.second == 0);
    first.map(|sample| sample.process.as_str()).collect()
}

fn process_row(report: &LoadReport, name: &str) -> String {
    let samples: Vec<&ProcessSample> = report
        .processes
        .iter()
        .filter(|sample| sample.process == name)
        .collect();
    let count = samples.len().max(1) as u64;
    let mean = |value: fn(&ProcessSample) -> u64| {
        samples.iter().map(|sample| value(sample)).sum::<u64>() as f64 / count as f64
    };
    let memory_bytes = samples.last().map_or(0, |sample| sample.memory_bytes);
    format!(
        "| {name} | {:.0} | {:.1} | {:.0} | {:.1} |\n",
        mean(|sample| sample.cpu_ms),
        memory_bytes as f64 / 1e6,
        mean(|sample| sample.control_bytes),
        mean(|sample| sample.control_calls),
    )
}

/// A line of a plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

fn plot_flows(report: &LoadReport, path: &Path) -> Result<()> {
    let series = (0..target_count(report)).map(|target| Series {
        name: format!("t{target}"),
        points: report
            .targets
            .iter()
            .filter(|sample| sample.target == target)
            .map(|sample| (sample.second as f64, sample.open_flows as f64))
            .collect(),
    });
    plot(path, "open flows by target", &series.collect::<Vec<_>>())
}

fn plot_processes(report: &LoadReport, path: &Path) -> Result<()> {
    let series = process_names(report).into_iter().map(|name| Series {
        name: name.to_owned(),
        points: report
            .processes
            .iter()
            .filter(|sample| sample.process == name)
            .map(|sample| (sample.second as f64, sample.cpu_ms as f64))
            .collect(),
    });
    plot(
        path,
        "processor time, ms each second",
        &series.collect::<Vec<_>>(),
    )
}

fn plot(path: &Path, title: &str, series: &[Series]) -> Result<()> {
    let points = || {
        series
            .iter()
            .flat_map(|series| series.points.iter().copied())
    };
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(io_error)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(io_error)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(io_error)?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), &color))
            .map_err(io_error)?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], Palette99::pick(index)));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(io_error)?;
    area.present().map_err(io_error)
}
