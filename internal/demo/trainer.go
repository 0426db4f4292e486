package demo

import (
	"context"
	"fmt"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/load"
)

// firstVersion is the version that the trainer's first step publishes; the
// engines begin with the one before it.
const firstVersion = 2

// weightBytes is the size of the published weights.
const weightBytes = 1 << 20

// train runs the steps, each after publishing a version, and the operator's
// work beside them.
func (d *Demo) train(ctx context.Context) ([]load.Batch, error) {
	trainer := load.NewTrainer(d.lg, load.TrainerConfig{
		Name: trainerName, Nodes: d.callerNodes(), Pool: TitlesPool, Model: d.cfg.Model, WeightBytes: weightBytes,
		Version: firstVersion - 1, VersionBound: d.cfg.VersionBound,
		SamplesPerPrompt: d.cfg.SamplesPerPrompt, MaxTokens: d.cfg.MaxTokens,
	}, d.httpClient, d.weights, d.sink)
	var batches []load.Batch
	for number := 1; number <= d.cfg.Steps; number++ {
		d.cfg.Progress(fmt.Sprintf("step %d of %d", number, d.cfg.Steps))
		batch, err := d.step(ctx, trainer, number)
		if err != nil {
			return batches, errs.Errorf("step %d: %w", number, err)
		}
		batches = append(batches, batch)
	}
	return batches, nil
}

// step publishes a version and runs one step while the operator works.
func (d *Demo) step(ctx context.Context, trainer *load.Trainer, number int) (load.Batch, error) {
	response, err := trainer.Publish(ctx, int64(firstVersion+number-1))
	if err != nil {
		return load.Batch{}, err
	}
	d.operator.recordAccepted(trainerName, response.Revision)
	work := make(chan error, 1)
	go func() { work <- d.operate(ctx, number) }()
	batch, err := trainer.RunStep(ctx, int64(number), d.prompts(number))
	return batch, errs.Combine(err, <-work)
}

// operate does what the operator does during a step.
func (d *Demo) operate(ctx context.Context, number int) error {
	drained := ""
	if len(d.cfg.Engines) > 1 {
		drained = d.cfg.Engines[0].Name
	}
	if number == 2 && drained != "" {
		if err := d.operator.drain(ctx, drained, d.cfg.DrainLimit); err != nil {
			return err
		}
	}
	if number < 2 || number != d.cfg.Steps {
		return nil
	}
	if number > 2 && drained != "" {
		if err := d.operator.resume(ctx, drained); err != nil {
			return err
		}
	}
	nodes := d.system.Nodes()
	if len(nodes) == 1 {
		return nil
	}
	d.cfg.Progress("stopping node " + nodes[0].Name)
	return d.system.StopNode(ctx, nodes[0].Name)
}

func (d *Demo) prompts(step int) []string {
	prompts := make([]string, d.cfg.Prompts)
	for i := range prompts {
		prompts[i] = fmt.Sprintf("Write a title for listing %d of step %d.", i, step)
	}
	return prompts
}

func promptOf(name string) func(number int64) string {
	return func(number int64) string { return fmt.Sprintf("%s request %d", name, number) }
}
