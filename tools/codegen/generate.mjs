// Generates generated/<name>.h from schema/<name>.json, and the same below platform/; records each
// schema's digest.
// Usage: node tools/codegen/generate.mjs [--check]
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync, readdirSync, existsSync } from 'node:fs';
import { dirname, join, basename } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const parts = ['.', 'platform'];
const checkOnly = process.argv.includes('--check');

function digestOf(text) {
    return createHash('sha256').update(text).digest('hex');
}

async function generate(name, text) {
    const { quicktype, InputData, JSONSchemaInput, FetchingJSONSchemaStore } =
        await import('quicktype-core');
    const input = new JSONSchemaInput(new FetchingJSONSchemaStore());
    const definitions = JSON.parse(text).definitions;
    const topLevel = Object.keys(definitions).filter(type => !definitions[type]['x-part']);
    const uris = topLevel.map(type => `#/definitions/${type}`);
    // A single type would get the source's name instead of its own.
    const source = topLevel.length === 1 ? topLevel[0] : name;
    await input.addSource({ name: source, schema: text, uris });
    const inputData = new InputData();
    inputData.addInput(input);
    const result = await quicktype({
        inputData,
        lang: 'c++',
        rendererOptions: {
            namespace: `anvilmill::wire::${name}`,
            'code-format': 'with-struct',
            'member-style': 'camel-case',
            'type-style': 'pascal-case',
            'enumerator-style': 'pascal-case',
            'source-style': 'single-source',
            'include-location': 'global-include',
            boost: 'false',
            'hide-null-optional': 'true',
        },
    });
    return result.lines.join('\n');
}

// The settings are checked against their schema at run time, so the binary carries its text.
function schemaText(text) {
    const head = '#pragma once\n\nnamespace anvilmill::wire::settings {\n\n';
    const body = `inline constexpr const char *SchemaText = R"schema(${text})schema";\n`;
    return `${head}${body}\n} // namespace anvilmill::wire::settings\n`;
}

const fail = [];
for (const part of parts) {
    const schemaFolder = join(root, part, 'schema');
    const outputFolder = join(root, part, 'generated');
    for (const file of readdirSync(schemaFolder).filter(f => f.endsWith('.json')).sort()) {
        const name = basename(file, '.json');
        const text = readFileSync(join(schemaFolder, file), 'utf8');
        const target = join(outputFolder, `${name}.h`);
        const mark = `// schema-digest: ${digestOf(text)}`;
        const found = existsSync(target) ? readFileSync(target, 'utf8').split('\n')[0] : '';
        if (found === mark)
            continue;
        if (checkOnly) {
            fail.push(`${part}/generated/${name}.h does not match ${part}/schema/${file}`);
            continue;
        }
        writeFileSync(target, `${mark}\n${await generate(name, text)}`);
        console.log(`${part}/generated/${name}.h`);
        if (name === 'settings')
            writeFileSync(join(outputFolder, 'settingsschema.h'), schemaText(text));
    }
}
for (const line of fail)
    console.error(line);
process.exit(fail.length ? 1 : 0);
