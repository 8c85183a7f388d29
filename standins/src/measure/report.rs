//! Results of measurements: JSON lines on standard output, and a Markdown report with plots.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use plotters::prelude::*;
use serde_json::Value;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 360);

/// Data series of a plot, drawn as a line.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the series.
    pub name: String,
    /// Points as x and y.
    pub points: Vec<(f64, f64)>,
}

/// Line plot.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Title, and file name without extension.
    pub name: String,
    /// Series to draw.
    pub series: Vec<Series>,
}

/// Collected results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    lines: Vec<Value>,
    plots: Vec<Plot>,
}

impl Report {
    /// Creates an empty report.
    pub fn new() -> Report {
        Report::default()
    }

    /// Adds a result and prints it to standard output.
    pub fn add(&mut self, line: Value) {
        println!("{line}");
        self.lines.push(line);
    }

    /// Adds a plot.
    pub fn plot(&mut self, plot: Plot) {
        self.plots.push(plot);
    }

    /// Writes the report as Markdown to `path`, and the plots as SVG files to the same folder.
    pub fn write(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let folder = path.parent().unwrap_or(Path::new("."));
        fs::create_dir_all(folder)?;
        let mut text = String::from("# Measurements\n\n");
        for plot in &self.plots {
            let file = format!("{}.svg", plot.name);
            draw(plot, &folder.join(&file))?;
            writeln!(text, "![{}]({file})\n", plot.name)?;
        }
        text += "```json\n";
        for line in &self.lines {
            writeln!(text, "{line}")?;
        }
        text += "```\n";
        fs::write(path, text)?;
        Ok(())
    }
}

fn draw(plot: &Plot, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let points = || plot.series.iter().flat_map(|series| series.points.iter());
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().draw()?;
    for (index, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color);
        chart.draw_series(line)?;
    }
    area.present()?;
    Ok(())
}

/// Rounds to three decimal places.
pub fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
